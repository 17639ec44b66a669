package quarantiner

// Subject is a part of prompts at one service. Services differ in their engines, so that a
// part may end the servers of one of them only.
type Subject struct {
	Service string
	Part    string
}
