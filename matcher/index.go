package matcher

import "hash/maphash"

// indexSeed is the seed of the hashes of all indexes of the process. It is random, so that the time of a
// lookup does not show how much of a key is right.
var indexSeed = maphash.MakeSeed()

// index finds values by text. It is built once and then only read. Built-in maps search up to eight
// entries without hashing and take more steps beyond that; here a lookup takes the same steps in an
// index of one entry and in one of thousands.
type index[Value any] struct {
	// slots is at most half full, so that a probe soon meets an empty slot. Its length is a power of 2.
	slots []indexSlot[Value]
	count int
}

// indexSlot holds an entry, or none if it is not used.
type indexSlot[Value any] struct {
	used  bool
	text  string
	value Value
}

// add adds a value whose text is not in the index yet.
func (index *index[Value]) add(text string, value Value) {
	if 2*(index.count+1) > len(index.slots) {
		previous := index.slots
		index.slots = make([]indexSlot[Value], max(2, 2*len(previous)))

		for _, slot := range previous {
			if slot.used {
				*index.slot(slot.text) = slot
			}
		}
	}

	*index.slot(text) = indexSlot[Value]{used: true, text: text, value: value}
	index.count++
}

// find returns the value of the text, and whether there is one.
func (index *index[Value]) find(text string) (Value, bool) {
	if len(index.slots) == 0 {
		var none Value

		return none, false
	}

	slot := index.slot(text)

	return slot.value, slot.used
}

// slot returns the slot that holds the text, or the one where it is to be added.
func (index *index[Value]) slot(text string) *indexSlot[Value] {
	mask := uint64(len(index.slots) - 1)

	for position := maphash.String(indexSeed, text) & mask; ; position = (position + 1) & mask {
		if slot := &index.slots[position]; !slot.used || slot.text == text {
			return slot
		}
	}
}
