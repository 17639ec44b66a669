package relayer

import (
	"bytes"
	"context"
	"encoding/json"
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
	// dialTimeout allows for many round trips between data centres.
	dialTimeout = 200 * time.Millisecond
	// idlePerPeer is enough idle connections for the watches and a few calls.
	idlePerPeer = 8
	// copyTimeout bounds the request for a copy, which peers answer from memory.
	copyTimeout = 500 * time.Millisecond
	// maxReplyBytes bounds a reply: a page of the store or a copy, of some megabytes in base64.
	// longReplies are read at a time, each with several times its length in memory.
	maxReplyBytes = 8 << 20
	longReplies   = 2
	// maxCopyPeers is the number of peers that are asked for a copy at once, and
	// newerCopyWait how long to wait for a newer copy after the first.
	maxCopyPeers  = 5
	newerCopyWait = 50 * time.Millisecond
)

// Relay is a keeper.Catalog that makes its calls through other gateways.
type Relay struct {
	kernel.Common
	Client *http.Client

	replies *kernel.AnswerLimiter

	mutex sync.Mutex
	// peers are the operations addresses of other gateways. Calls go to the first,
	// which moves to the end when it cannot answer.
	peers []string
}

var _ keeper.Catalog = (*Relay)(nil)

// NewRelay returns a relay that uses the seeds until SetPeers is called.
func NewRelay(common kernel.Common, seeds []string) *Relay {
	return &Relay{
		Common:  common.ForPart("relayer"),
		Client:  &http.Client{Transport: kernel.NewTransport(&net.Dialer{Timeout: dialTimeout}, idlePerPeer)},
		replies: kernel.NewAnswerLimiter(maxReplyBytes, longReplies),
		peers:   seeds,
	}
}

// SetPeers replaces the addresses of the peers. An empty list is ignored, since
// the last addresses may still be right.
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
	answer, err := relay.callAnyPeer(ctx, call{Operation: operationGet, Key: key})

	return answer.Item, errors.Trace(err)
}

// Range implements keeper.Catalog.
func (relay *Relay) Range(ctx context.Context, prefix, after string, stale bool) (keeper.Page, error) {
	answer, err := relay.callAnyPeer(ctx, call{Operation: operationRange, Prefix: prefix, After: after, Stale: stale})

	return answer.Page, errors.Trace(err)
}

// Watch implements keeper.Catalog.
func (relay *Relay) Watch(ctx context.Context, prefix string, after keeper.Revision, wait time.Duration) (keeper.Changes, error) {
	answer, err := relay.callAnyPeer(ctx, call{Operation: operationWatch, Prefix: prefix, Revision: after, Duration: wait})

	return answer.Changes, errors.Trace(err)
}

// Transact implements keeper.Catalog.
func (relay *Relay) Transact(ctx context.Context, transaction keeper.Transaction) (keeper.TransactionResult, error) {
	answer, err := relay.callAnyPeer(ctx, call{Operation: operationTransact, Transaction: &transaction})
	if err != nil && answer.Cause == causeNone {
		return keeper.TransactionResult{Applied: keeper.WriteUnknown}, errors.Trace(err)
	}

	return answer.Committed, errors.Trace(err)
}

// Grant implements keeper.Catalog.
func (relay *Relay) Grant(ctx context.Context, duration time.Duration) (keeper.LeaseID, time.Duration, error) {
	answer, err := relay.callAnyPeer(ctx, call{Operation: operationGrant, Duration: duration})

	return answer.Lease, answer.Duration, errors.Trace(err)
}

// Renew implements keeper.Catalog.
func (relay *Relay) Renew(ctx context.Context, lease keeper.LeaseID) error {
	_, err := relay.callAnyPeer(ctx, call{Operation: operationRenew, Lease: lease})

	return errors.Trace(err)
}

// Revoke implements keeper.Catalog.
func (relay *Relay) Revoke(ctx context.Context, lease keeper.LeaseID) error {
	_, err := relay.callAnyPeer(ctx, call{Operation: operationRevoke, Lease: lease})

	return errors.Trace(err)
}

// Copy asks a few peers for their copy of a prefix and returns the newest. It asks
// several since one that was disconnected until a moment ago may still list servers
// and keys that were removed.
func (relay *Relay) Copy(ctx context.Context, prefix string) (keeper.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()

	peers := relay.randomPeers(maxCopyPeers)
	answers := make(chan copyResult, len(peers))

	for _, peer := range peers {
		go func() { answers <- relay.fetchCopy(ctx, peer, prefix) }()
	}

	newest := copyResult{err: errors.NotFoundf("another process")}
	// waitOver is nil until the first copy arrives, and fires newerCopyWait later.
	var waitOver <-chan time.Time

	for range peers {
		select {
		case answer := <-answers:
			if answer.err == nil && waitOver == nil {
				waitOver = time.After(newerCopyWait)
			}

			newest = newest.orNewer(answer)
		case <-waitOver:
			return newest.page, nil
		}
	}

	return newest.page, newest.err
}

// copyResult is a peer's copy of a prefix, or the error of asking for it.
type copyResult struct {
	page keeper.Page
	err  error
}

// orNewer returns the other result if it is a newer copy or this one is an error.
func (answer copyResult) orNewer(other copyResult) copyResult {
	if answer.err == nil && (other.err != nil || other.page.Revision <= answer.page.Revision) {
		return answer
	}

	return other
}

func (relay *Relay) fetchCopy(ctx context.Context, peer, prefix string) copyResult {
	answer, err := relay.send(ctx, peer, call{Operation: operationCopy, Prefix: prefix})
	if err == nil {
		err = errors.Annotatef(answer.asError(), "through %s", peer)
	}

	return copyResult{page: answer.Page, err: err}
}

// randomPeers returns up to maxCount peers in random order.
func (relay *Relay) randomPeers(maxCount int) []string {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()

	chosen := []string{}

	for _, index := range rand.Perm(len(relay.peers)) {
		if len(chosen) < maxCount {
			chosen = append(chosen, relay.peers[index])
		}
	}

	return chosen
}

func (relay *Relay) peerCount() int {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()

	return len(relay.peers)
}

// callAnyPeer makes a call through the first peer that can be connected to. A peer that
// could not answer moves to the end of the list. A call that may have reached a peer
// isn't sent to another.
func (relay *Relay) callAnyPeer(ctx context.Context, outgoing call) (reply, error) {
	answer, err := notStartedReply(), errors.NotFoundf("another process")

	for range relay.peerCount() {
		peer := relay.firstPeer()
		answer, err = relay.send(ctx, peer, outgoing)

		if err == nil {
			err = errors.Annotatef(answer.asError(), "through %s", peer)
		}

		if err != nil && (answer.Cause == causeNone || answer.Cause == causeFailed) {
			relay.moveToEnd(peer)
		}

		if !isDialError(err) || ctx.Err() != nil {
			return answer, err
		}
	}

	return notStartedReply(), err
}

// notStartedReply is the reply to a call that no peer has started, so that a write had
// no effect.
func notStartedReply() reply {
	return reply{Cause: causeFailed, Committed: keeper.TransactionResult{Applied: keeper.WriteRefused}}
}

// isDialError tells whether connecting failed, so that the call had no effect.
func isDialError(err error) bool {
	opError := &net.OpError{}

	return errors.As(err, &opError) && opError.Op == "dial"
}

func (relay *Relay) send(ctx context.Context, peer string, outgoing call) (reply, error) {
	body, err := json.Marshal(outgoing)
	if err != nil {
		return reply{}, errors.Trace(err)
	}

	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer+PathCatalog, bytes.NewReader(body)) //nolint:gosec // Peers come from settings and from the list of members.
	if err != nil {
		return reply{}, errors.Trace(err)
	}
	// Without GetBody the transport cannot retry the call by itself.
	request.GetBody = nil

	response, err := relay.Client.Do(request) //nolint:gosec // See above.
	if err != nil {
		return reply{}, errors.Trace(err)
	}
	defer response.Body.Close()

	if !kernel.IsFinalStatus(response.StatusCode) {
		return reply{}, errors.NotValidf("answer with the status %03d", response.StatusCode)
	}

	if response.StatusCode != http.StatusOK {
		// The other gateway refused the call before starting it.
		return notStartedReply(), errors.Errorf("gateway answered %s", response.Status)
	}

	limited := relay.replies.Limit(ctx, response.Body)
	defer limited.Close()

	answer := reply{}

	return answer, errors.Trace(json.NewDecoder(limited).Decode(&answer))
}

// firstPeer returns the peer to call next, or "" if there is none.
func (relay *Relay) firstPeer() string {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()

	if len(relay.peers) == 0 {
		return ""
	}

	return relay.peers[0]
}

// moveToEnd moves a peer to the end of the list, unless another call already did.
func (relay *Relay) moveToEnd(peer string) {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()

	if len(relay.peers) > 1 && relay.peers[0] == peer {
		relay.peers = append(append([]string{}, relay.peers[1:]...), peer)
	}
}
