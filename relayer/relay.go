package relayer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetrail/keeper"
	"limpetrail/kernel"
)

const (
	// dialTimeout is many round trips between data centres.
	dialTimeout = 200 * time.Millisecond
	// idlePerPeer holds the watches and a few calls.
	idlePerPeer = 8
	// copyTimeout of the question for a copy; it is answered from memory.
	copyTimeout = 500 * time.Millisecond
	// maxReplyBytes bounds a reply: a page of some megabytes, in base64.
	maxReplyBytes = 32 << 20
	// copyPeers are asked for a copy at once, and copyPatience is how long a newer
	// one is awaited after the first.
	copyPeers    = 5
	copyPatience = 50 * time.Millisecond
)

// Relay is a keeper.Catalog that is reached through other gateways.
type Relay struct {
	kernel.Common
	Client *http.Client

	mutex sync.Mutex
	// peers are the operations addresses of other gateways; the first is asked
	// and moves to the end when it cannot help.
	peers []string
}

var _ keeper.Catalog = (*Relay)(nil)

// NewRelay returns a relay that knows the seeds.
func NewRelay(common kernel.Common, seeds []string) *Relay {
	return &Relay{
		Common: common.ForPart("relayer"),
		Client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: idlePerPeer,
			DisableCompression:  true,
		}},
		peers: seeds,
	}
}

// SetPeers replaces the addresses, unless there are none: the last ones may
// still be right.
func (relay *Relay) SetPeers(addresses []string) {
	if len(addresses) == 0 {
		return
	}

	relay.mutex.Lock()
	defer relay.mutex.Unlock()

	relay.peers = addresses
}

// Get implements keeper.Catalog.
func (relay *Relay) Get(ctx context.Context, key string) (keeper.Item, error) {
	answer, err := relay.call(ctx, call{Operation: operationGet, Key: key})

	return answer.Item, errors.Trace(err)
}

// Range implements keeper.Catalog.
func (relay *Relay) Range(ctx context.Context, prefix, after string, stale bool) (keeper.Page, error) {
	answer, err := relay.call(ctx, call{Operation: operationRange, Prefix: prefix, After: after, Stale: stale})

	return answer.Page, errors.Trace(err)
}

// Watch implements keeper.Catalog.
func (relay *Relay) Watch(ctx context.Context, prefix string, after keeper.Revision, wait time.Duration) (keeper.Changes, error) {
	answer, err := relay.call(ctx, call{Operation: operationWatch, Prefix: prefix, Revision: after, Duration: wait})

	return answer.Changes, errors.Trace(err)
}

// Transact implements keeper.Catalog.
func (relay *Relay) Transact(ctx context.Context, transaction keeper.Transaction) (keeper.Committed, error) {
	answer, err := relay.call(ctx, call{Operation: operationTransact, Transaction: &transaction})
	if err != nil && answer.Cause == causeNone {
		return keeper.Committed{Applied: keeper.WriteUnknown}, errors.Trace(err)
	}

	return answer.Committed, errors.Trace(err)
}

// Grant implements keeper.Catalog.
func (relay *Relay) Grant(ctx context.Context, duration time.Duration) (keeper.LeaseID, time.Duration, error) {
	answer, err := relay.call(ctx, call{Operation: operationGrant, Duration: duration})

	return answer.Lease, answer.Duration, errors.Trace(err)
}

// Renew implements keeper.Catalog.
func (relay *Relay) Renew(ctx context.Context, lease keeper.LeaseID) error {
	_, err := relay.call(ctx, call{Operation: operationRenew, Lease: lease})

	return errors.Trace(err)
}

// Revoke implements keeper.Catalog.
func (relay *Relay) Revoke(ctx context.Context, lease keeper.LeaseID) error {
	_, err := relay.call(ctx, call{Operation: operationRevoke, Lease: lease})

	return errors.Trace(err)
}

// Copy returns the newest of what a few other processes last saw below a prefix. One
// that was away until a moment ago may still have servers and keys that are gone.
func (relay *Relay) Copy(ctx context.Context, prefix string) (keeper.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()

	peers := relay.some(copyPeers)
	answers := make(chan copyAnswer, len(peers))

	for _, peer := range peers {
		go func() { answers <- relay.copyOf(ctx, peer, prefix) }()
	}

	newest := copyAnswer{err: errors.NotFoundf("another process")}
	// enough is nil until there is a copy; others have a moment to give a newer one.
	var enough <-chan time.Time

	for range peers {
		select {
		case answer := <-answers:
			if answer.err == nil && enough == nil {
				enough = time.After(copyPatience)
			}

			newest = newest.orNewer(answer)
		case <-enough:
			return newest.page, nil
		}
	}

	return newest.page, newest.err
}

// copyAnswer is another process's copy, or why there is none.
type copyAnswer struct {
	page keeper.Page
	err  error
}

// orNewer returns the other answer if it is a copy and newer.
func (answer copyAnswer) orNewer(other copyAnswer) copyAnswer {
	if answer.err == nil && (other.err != nil || other.page.Revision <= answer.page.Revision) {
		return answer
	}

	return other
}

func (relay *Relay) copyOf(ctx context.Context, peer, prefix string) copyAnswer {
	answer, err := relay.ask(ctx, peer, call{Operation: operationCopy, Prefix: prefix})
	if err == nil {
		err = errors.Annotatef(answer.err(), "through %s", peer)
	}

	return copyAnswer{page: answer.Page, err: err}
}

// some returns a few processes by chance.
func (relay *Relay) some(most int) []string {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()

	chosen := []string{}

	for _, index := range rand.Perm(len(relay.peers)) {
		if len(chosen) < most {
			chosen = append(chosen, relay.peers[index])
		}
	}

	return chosen
}

func (relay *Relay) count() int {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()

	return len(relay.peers)
}

// call asks the first process that can be reached. One that cannot help is not
// asked next.
func (relay *Relay) call(ctx context.Context, asked call) (reply, error) {
	answer, err := notBegun(), errors.NotFoundf("another process")

	for range relay.count() {
		peer := relay.first()
		answer, err = relay.ask(ctx, peer, asked)

		if err == nil {
			err = errors.Annotatef(answer.err(), "through %s", peer)
		}

		if err != nil && (answer.Cause == causeNone || answer.Cause == causeFailed) {
			relay.turn(peer)
		}

		if !unreached(err) || ctx.Err() != nil {
			return answer, err
		}
	}

	return notBegun(), err
}

// notBegun is the reply to a call that no process has begun.
func notBegun() reply {
	return reply{Cause: causeFailed, Committed: keeper.Committed{Applied: keeper.WriteRefused}}
}

// unreached tells whether no connection was made, so that nothing was done.
func unreached(err error) bool {
	dialling := &net.OpError{}

	return errors.As(err, &dialling) && dialling.Op == "dial"
}

func (relay *Relay) ask(ctx context.Context, peer string, asked call) (reply, error) {
	body, err := json.Marshal(asked)
	if err != nil {
		return reply{}, errors.Trace(err)
	}

	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer+Path, bytes.NewReader(body)) //nolint:gosec // Peers come from settings and from the list of members.
	if err != nil {
		return reply{}, errors.Trace(err)
	}
	// Without GetBody the transport cannot send the call a second time.
	request.GetBody = nil

	response, err := relay.Client.Do(request) //nolint:gosec // See above.
	if err != nil {
		return reply{}, errors.Trace(err)
	}
	defer response.Body.Close()

	if response.StatusCode != http.StatusOK {
		// The other gateway has not begun the call.
		return notBegun(), errors.Errorf("gateway answered %s", response.Status)
	}

	answer := reply{}

	return answer, errors.Trace(json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(&answer))
}

// first returns the process to ask next, or nothing if there is none.
func (relay *Relay) first() string {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()

	if len(relay.peers) == 0 {
		return ""
	}

	return relay.peers[0]
}

// turn puts a gateway at the end, unless that was done already.
func (relay *Relay) turn(peer string) {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()

	if len(relay.peers) > 1 && relay.peers[0] == peer {
		relay.peers = append(append([]string{}, relay.peers[1:]...), peer)
	}
}
