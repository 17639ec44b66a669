package reserver

import "sync"

const (
	// budgetShare of the memory limit is for requests. The program and 600 connections need about
	// 45 MB of the smallest limit, 144 MB; the rest is for garbage and for the sockets' buffers.
	budgetShare = 0.25
	// commonShare of the budget is for everybody. The rest is for small requests and for owners
	// within their fair part.
	commonShare = 0.75
	// smallBytes is the size of a request that may use the whole budget. Prompts are shorter.
	smallBytes = 64 << 10
)

// Reserver divides a budget of bytes among the requests of a process.
type Reserver struct {
	// Budget is how many bytes may be reserved together.
	Budget int64

	mutex sync.Mutex
	// largest is the size of the largest request.
	largest int64
	// reserved is how much of the budget is reserved.
	reserved int64
	// byAddress and byWorkspace hold what their owners have reserved, without zeros.
	byAddress   map[string]int64
	byWorkspace map[string]int64
}

// NewReserver returns a reserver for a process with a memory limit in bytes.
func NewReserver(limit int64) *Reserver {
	return &Reserver{Budget: int64(budgetShare * float64(limit)), byAddress: map[string]int64{}, byWorkspace: map[string]int64{}}
}

// SetLargest sets the size of the largest request. No fair part is smaller.
func (reserver *Reserver) SetLargest(bytes int64) {
	reserver.mutex.Lock()
	defer reserver.mutex.Unlock()

	reserver.largest = bytes
}

// Open returns an empty reservation.
func (reserver *Reserver) Open(owner Owner) *Reservation {
	return &Reservation{reserver: reserver, owner: owner}
}

// Reserved returns how many bytes are reserved.
func (reserver *Reserver) Reserved() int64 {
	reserver.mutex.Lock()
	defer reserver.mutex.Unlock()

	return reserver.reserved
}

func (reserver *Reserver) grow(reservation *Reservation, bytes int64) Verdict {
	reserver.mutex.Lock()
	defer reserver.mutex.Unlock()

	if reserver.reserved+bytes > reserver.Budget {
		return NoRoom
	}

	common := int64(commonShare * float64(reserver.Budget))

	if reservation.bytes+bytes > smallBytes && reserver.reserved+bytes > common {
		switch owner := reservation.owner; {
		case reserver.exceedsPart(reserver.byAddress, owner.Address, bytes, common):
			return AddressBound
		case reserver.exceedsPart(reserver.byWorkspace, owner.Workspace, bytes, common):
			return WorkspaceBound
		}
	}

	reserver.add(reservation, bytes)

	return Granted
}

// exceedsPart reports whether an owner with so many more bytes has more than its fair part of the
// common bytes.
func (reserver *Reserver) exceedsPart(byOwner map[string]int64, owner string, bytes, common int64) bool {
	if owner == "" {
		return false
	}

	owners := int64(len(byOwner))
	if byOwner[owner] == 0 {
		owners++
	}

	return byOwner[owner]+bytes > max(reserver.largest, common/owners)
}

func (reserver *Reserver) shrink(reservation *Reservation, bytes int64) {
	reserver.mutex.Lock()
	defer reserver.mutex.Unlock()

	reserver.add(reservation, -min(bytes, reservation.bytes))
}

func (reserver *Reserver) add(reservation *Reservation, bytes int64) {
	reservation.bytes += bytes
	reserver.reserved += bytes

	addTo(reserver.byAddress, reservation.owner.Address, bytes)
	addTo(reserver.byWorkspace, reservation.owner.Workspace, bytes)
}

func addTo(byOwner map[string]int64, owner string, bytes int64) {
	byOwner[owner] += bytes

	if owner == "" || byOwner[owner] <= 0 {
		delete(byOwner, owner)
	}
}
