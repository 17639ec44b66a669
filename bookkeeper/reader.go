package bookkeeper

// Reader is who asks for a job or submits one.
type Reader struct {
	// Restricted is set if the configuration has workspaces. Otherwise all jobs may be read.
	Restricted bool
	// Workspace is the reader's workspace; empty if it has none.
	Workspace string
}

// MayRead reports whether the reader may read and end a job of the workspace. A job without one was
// accepted from a caller without a key.
func (reader Reader) MayRead(workspace string) bool {
	return !reader.Restricted || workspace == "" || workspace == reader.Workspace
}
