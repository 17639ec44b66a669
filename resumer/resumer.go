package resumer

import (
	"context"
	"encoding/json"
	"io"
	"iter"
	"maps"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"limpetrail/kernel"
)

const (
	// Path is where holders are asked for the origin of a stream.
	Path = "/v1/streams"
	// queryID is the query parameter with the ID of the call that brought the first event.
	queryID = "id"
	// queryService and queryPeriod ask for the versions at which streams began.
	queryService = "service"
	queryPeriod  = "period"
	// maxReplyBytes bounds a holder's answer.
	maxReplyBytes = 64 << 10
	// askTimeout bounds the question to the holders: a caller waits for its stream.
	askTimeout = 250 * time.Millisecond
	// copies is how many holders are told of each stream; one may be away.
	copies = 2
	// idlePerHolder is the maximum number of idle connections to each holder.
	idlePerHolder = 2
)

// Resumer knows where streams began: from this entry's own calls, and from the holders that all
// entries tell.
type Resumer struct {
	kernel.Common
	Client *http.Client
	// Seeds are the addresses of holders that are known before the list of members is.
	Seeds []string
	// Send sends a datagram.
	Send func(address string, datagram []byte) error

	ledger *Ledger

	mutex sync.Mutex
	// holders are the addresses of the listed holders by name.
	holders map[string]string
}

// Option changes a Resumer at construction.
type Option func(*Resumer)

// WithSeeds sets the holders that are known from the start.
func WithSeeds(addresses []string) Option {
	return func(resumer *Resumer) { resumer.Seeds = addresses }
}

// WithSend replaces the UDP socket.
func WithSend(send func(address string, datagram []byte) error) Option {
	return func(resumer *Resumer) { resumer.Send = send }
}

// WithClient replaces the HTTP client for questions to holders.
func WithClient(client *http.Client) Option {
	return func(resumer *Resumer) { resumer.Client = client }
}

// NewResumer returns a resumer that knows no streams.
func NewResumer(common kernel.Common, options ...Option) *Resumer {
	resumer := &Resumer{
		Common: common.ForPart("resumer"), Client: &http.Client{Transport: kernel.NewTransport(&net.Dialer{Timeout: askTimeout}, idlePerHolder)}, Send: newSocket().send,
		ledger: NewLedger(), holders: map[string]string{},
	}

	for _, option := range options {
		option(resumer)
	}

	return resumer
}

// SetHolders replaces the addresses of the listed holders, by name.
func (resumer *Resumer) SetHolders(addresses map[string]string) {
	resumer.mutex.Lock()
	defer resumer.mutex.Unlock()

	resumer.holders = maps.Clone(addresses)
}

// Record records where a stream began, before its first event is passed on. Two holders are told
// without waiting for them: they are asked once this process is gone.
func (resumer *Resumer) Record(id string, origin Origin) {
	resumer.ledger.Record(id, origin)

	datagram, err := json.Marshal(record{Origin: origin, ID: id})
	if err != nil {
		resumer.Log.WithField("RequestID", id).WithError(err).Warn("Record of a stream cannot be encoded; other entries cannot continue the stream.")

		return
	}

	for _, address := range resumer.chosenHolders(id) {
		if err := resumer.Send(address, datagram); err != nil {
			resumer.Log.WithFields(logrus.Fields{"RequestID": id, "Holder": address}).WithError(err).Debug("Record of a stream was not sent to a holder.")
		}
	}
}

// chosenHolders returns the addresses of the holders that keep a stream's record. Until any are
// listed they are chosen among the seeds.
func (resumer *Resumer) chosenHolders(id string) []string {
	resumer.mutex.Lock()
	defer resumer.mutex.Unlock()

	candidates := slices.Collect(maps.Values(resumer.holders))
	if len(candidates) == 0 {
		candidates = slices.Clone(resumer.Seeds)
	}

	slices.SortFunc(candidates, func(one, other string) int { return compareRanks(id, one, other) })

	return candidates[:min(copies, len(candidates))]
}

// allHolders returns the addresses of the listed holders and of the seeds.
func (resumer *Resumer) allHolders() []string {
	resumer.mutex.Lock()
	defer resumer.mutex.Unlock()

	addresses := append(slices.Collect(maps.Values(resumer.holders)), resumer.Seeds...)
	slices.Sort(addresses)

	return slices.Compact(addresses)
}

// Find returns where a stream began. The error is of the type NotFound if nobody remembers it; it
// is another one if a holder that may know did not answer.
func (resumer *Resumer) Find(ctx context.Context, id string) (Origin, error) {
	if id == "" {
		return Origin{}, errors.NotFoundf("ID of the call that brought the first event")
	}

	if origin, age, known := resumer.ledger.Find(id); known {
		resumer.logFound(id, origin, "this entry", age)

		return origin, nil
	}

	holders := resumer.allHolders()

	var silent error

	for answer := range askAll[reply](ctx, resumer, holders, url.Values{queryID: {id}}) {
		switch {
		case answer.err == nil:
			resumer.ledger.Record(id, answer.reply.Origin)
			resumer.logFound(id, answer.reply.Origin, answer.holder, answer.reply.Age)

			return answer.reply.Origin, nil
		case !errors.Is(answer.err, errors.NotFound):
			silent = answer.err
		}
	}

	resumer.Log.WithFields(logrus.Fields{"Resumes": id, "Holders": len(holders)}).WithError(silent).Info("Origin of a stream is not known.")

	if silent != nil {
		return Origin{}, errors.Annotate(silent, "asking the holders")
	}

	return Origin{}, errors.NotFoundf("stream %s", id)
}

func (resumer *Resumer) logFound(id string, origin Origin, source string, age time.Duration) {
	resumer.Log.WithFields(logrus.Fields{
		"Resumes": id, "Service": origin.Service, "Software": origin.Software, "Source": source, "Age": age,
	}).Info("Origin of a stream is known.")
}

// SoleSoftware returns the version at which all streams of the service began in the period, as far as
// the holders were told. It is false if there was none or were several, or if too few holders answer
// that have been told for so long.
func (resumer *Resumer) SoleSoftware(ctx context.Context, service string, period time.Duration) (string, bool) {
	holders := resumer.allHolders()
	versions, told := resumer.ledger.Versions(service, period), 0

	for answer := range askAll[versionsReply](ctx, resumer, holders, url.Values{queryService: {service}, queryPeriod: {period.String()}}) {
		if answer.err != nil || answer.reply.Up < period {
			continue
		}

		told++

		for _, version := range answer.reply.Versions {
			versions[version] = true
		}
	}

	names := slices.Sorted(maps.Keys(versions))
	// Each stream is told to several holders, so that all but one of these may be missing.
	sole := told > 0 && told > len(holders)-copies && len(names) == 1

	resumer.Log.WithFields(logrus.Fields{"Service": service, "Software": names, "Holders": len(holders), "Told": told, "Sole": sole}).Info("Asked for the software versions of recent streams.")

	if !sole {
		return "", false
	}

	return names[0], true
}

// answer is a holder's answer to a question.
type answer[T any] struct {
	holder string
	reply  T
	err    error
}

// askAll asks all holders at once and yields their answers as they come.
func askAll[T any](ctx context.Context, resumer *Resumer, holders []string, query url.Values) iter.Seq[answer[T]] {
	return func(yield func(answer[T]) bool) {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()

		answers := make(chan answer[T], len(holders))

		for _, holder := range holders {
			go func() {
				asked := answer[T]{holder: holder}
				asked.err = errors.Annotate(resumer.ask(ctx, holder, query, &asked.reply), holder)
				answers <- asked
			}()
		}

		for range holders {
			if !yield(<-answers) {
				return
			}
		}
	}
}

// ask asks one holder and decodes its answer.
func (resumer *Resumer) ask(ctx context.Context, holder string, query url.Values, reply any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+holder+Path+"?"+query.Encode(), nil)
	if err != nil {
		return errors.Trace(err)
	}

	response, err := resumer.Client.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()

	switch response.StatusCode {
	case http.StatusOK:
		return errors.Trace(json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(reply))
	case http.StatusNotFound:
		return errors.NotFoundf("stream")
	default:
		return errors.Errorf("status %d", response.StatusCode)
	}
}

// socket sends datagrams from a port that is opened with the first one.
type socket struct {
	mutex      sync.Mutex
	connection *net.UDPConn
}

func newSocket() *socket {
	return &socket{}
}

func (socket *socket) send(address string, datagram []byte) error {
	target, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return errors.Trace(err)
	}

	socket.mutex.Lock()
	defer socket.mutex.Unlock()

	if socket.connection == nil {
		connection, err := net.ListenUDP("udp4", nil)
		if err != nil {
			return errors.Trace(err)
		}

		socket.connection = connection
	}

	_, err = socket.connection.WriteToUDP(datagram, target)

	return errors.Trace(err)
}
