package reserver

// Owner is whom a reservation is for. Empty fields are not bounded.
type Owner struct {
	// Address is the caller's address without its port.
	Address   string
	Workspace string
}

// Reservation is the memory of one request. It must be released.
type Reservation struct {
	owner    Owner
	reserver *Reserver
	// bytes are those reserved; the reserver's mutex guards it.
	bytes int64
}

// Grow reserves more bytes. It reserves none unless the verdict is Granted.
func (reservation *Reservation) Grow(bytes int64) Verdict {
	return reservation.reserver.grow(reservation, bytes)
}

// Shrink returns bytes to the budget.
func (reservation *Reservation) Shrink(bytes int64) {
	reservation.reserver.shrink(reservation, bytes)
}

// Release returns all bytes to the budget.
func (reservation *Reservation) Release() {
	reservation.reserver.shrink(reservation, reservation.Bytes())
}

// Bytes returns how many bytes are reserved.
func (reservation *Reservation) Bytes() int64 {
	reservation.reserver.mutex.Lock()
	defer reservation.reserver.mutex.Unlock()

	return reservation.bytes
}
