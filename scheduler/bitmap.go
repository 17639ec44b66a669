package scheduler

import "math/bits"

// Bitmap is a set of item indexes, one bit each.
type Bitmap []byte

// NewBitmap returns an empty set for indexes below size.
func NewBitmap(size int) Bitmap {
	return make(Bitmap, (size+7)/8)
}

// Has returns whether the index is in the set.
func (bitmap Bitmap) Has(index int) bool {
	return index/8 < len(bitmap) && bitmap[index/8]&(1<<(index%8)) != 0
}

// Set adds the index to the set.
func (bitmap Bitmap) Set(index int) {
	bitmap[index/8] |= 1 << (index % 8)
}

// Clear removes the index from the set.
func (bitmap Bitmap) Clear(index int) {
	if index/8 < len(bitmap) {
		bitmap[index/8] &^= 1 << (index % 8)
	}
}

// Count returns the number of indexes in the set.
func (bitmap Bitmap) Count() int {
	count := 0
	for _, octet := range bitmap {
		count += bits.OnesCount8(octet)
	}

	return count
}
