package attester

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"limpetrail/exchanger"
	"limpetrail/kernel"
	"limpetrail/placer"
)

const (
	// askTimeout bounds one question to a server. A sound one may be silent for that long.
	askTimeout = 2 * time.Second
	// maxServers bounds the servers whose answers are remembered.
	maxServers = 4096
)

// Reporter asks servers for their starts.
type Reporter interface {
	// ReportStart returns the start that a server names, or 0 if it names none.
	ReportStart(ctx context.Context, server placer.Server) (int64, error)
}

// Attester asks servers for their starts. One answer serves all connections that were open when it
// was asked for: a process that ends takes its connections along.
type Attester struct {
	kernel.Common
	Reporter Reporter

	mutex sync.Mutex
	// inquiries holds the last inquiry of each server, by ID.
	inquiries map[string]*inquiry
}

// inquiry is a question to a server for its start.
type inquiry struct {
	start   int64
	askedAt time.Time
	// done is closed when the answer is in err.
	done chan struct{}
	err  error
}

// NewAttester returns an attester that has asked no server yet.
func NewAttester(common kernel.Common, reporter Reporter) *Attester {
	return &Attester{Common: common.ForPart("attester"), Reporter: reporter, inquiries: map[string]*inquiry{}}
}

// Confirm returns nil if a connection to the server leads to the start that is listed. The error is
// exchanger.ErrRestarted if it leads to another one, and any other if that is not known before the
// context ends. A server that names no start is taken for the listed one.
func (attester *Attester) Confirm(ctx context.Context, server placer.Server, connectedAt time.Time) error {
	if server.Incarnation == 0 {
		return nil
	}

	current := attester.inquiryFor(ctx, server, connectedAt)

	select {
	case <-current.done:
		return current.err
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// ConfirmWhile is Confirm that waits for longer than the patience only while isSilent holds. While
// nothing else has arrived from the server either, waiting for its answer costs nothing.
func (attester *Attester) ConfirmWhile(ctx context.Context, server placer.Server, connectedAt time.Time, patience time.Duration, isSilent func() bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	confirmed := make(chan error, 1)

	go func() { confirmed <- attester.Confirm(ctx, server, connectedAt) }()

	for {
		select {
		case err := <-confirmed:
			return err
		case <-time.After(patience):
		}

		if !isSilent() {
			return errors.Timeoutf("answer to the question for the server's start")
		}
	}
}

// inquiryFor returns an inquiry that began after the connection was opened.
func (attester *Attester) inquiryFor(ctx context.Context, server placer.Server, connectedAt time.Time) *inquiry {
	attester.mutex.Lock()
	defer attester.mutex.Unlock()

	if last := attester.inquiries[server.ID]; last != nil && last.start == server.Incarnation && !last.askedAt.Before(connectedAt) {
		return last
	}

	if len(attester.inquiries) >= maxServers {
		clear(attester.inquiries)
	}

	added := &inquiry{start: server.Incarnation, askedAt: time.Now(), done: make(chan struct{})}
	attester.inquiries[server.ID] = added

	go attester.ask(context.WithoutCancel(ctx), server, added)

	return added
}

// report asks the server, and once more if an idle connection had just been closed.
func (attester *Attester) report(ctx context.Context, server placer.Server) (int64, error) {
	start, err := attester.Reporter.ReportStart(ctx, server)

	failure := exchanger.FailureError{}
	if errors.As(err, &failure) && failure.Kind == exchanger.Interrupted {
		start, err = attester.Reporter.ReportStart(ctx, server)
	}

	return start, errors.Trace(err)
}

// ask makes an inquiry. Several callers may wait for it, so that it goes on when one of them leaves.
func (attester *Attester) ask(ctx context.Context, server placer.Server, asked *inquiry) {
	defer close(asked.done)

	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()

	start, err := attester.report(ctx, server)

	switch {
	case err != nil:
		asked.err = errors.Annotate(err, "asking the server for its start")
	case start != 0 && start != server.Incarnation:
		asked.err = errors.Trace(exchanger.ErrRestarted)
	}

	attester.Metrics.Counter("inquiries").Inc(1)

	if asked.err == nil {
		return
	}

	attester.Log.WithFields(logrus.Fields{
		"BackendServer": server.ID, "Listed": server.Incarnation, "Reported": start, "Age": time.Since(asked.askedAt), "Error": asked.err,
	}).Info("Backend server is not known to be the start that is listed.")

	// A later stream asks again.
	attester.mutex.Lock()
	defer attester.mutex.Unlock()

	if attester.inquiries[server.ID] == asked {
		delete(attester.inquiries, server.ID)
	}
}
