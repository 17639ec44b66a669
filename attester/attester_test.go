package attester_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"limpetrail/attester"
	"limpetrail/exchanger"
	"limpetrail/kernel"
	"limpetrail/placer"
)

// reporter is a server that answers after a delay.
type reporter struct {
	start int64
	err   error
	delay time.Duration
	asked int
}

// ReportStart implements attester.Reporter.
func (reporter *reporter) ReportStart(ctx context.Context, _ placer.Server) (int64, error) {
	reporter.asked++

	select {
	case <-time.After(reporter.delay):
		return reporter.start, reporter.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// A server that is back under its ID was taken for the start that was listed.
func TestConfirm(t *testing.T) {
	const listed = 7

	for name, scenario := range map[string]struct {
		server    reporter
		confirmed bool
		restarted bool
	}{
		"the listed start":         {reporter{start: listed}, true, false},
		"another start":            {reporter{start: listed + 1}, false, true},
		"a server without a start": {reporter{}, true, false},
		"no answer":                {reporter{start: listed, delay: time.Minute}, false, false},
		"an error":                 {reporter{err: errors.New("refused")}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				subject := attester.NewAttester(kernel.NewDiscardCommon("gateway"), &scenario.server)
				err := subject.Confirm(t.Context(), placer.Server{ID: "s", Incarnation: listed}, time.Now())
				require.Equal(t, scenario.confirmed, err == nil)
				require.Equal(t, scenario.restarted, errors.Is(err, exchanger.ErrRestarted))
			})
		})
	}
}

// One answer serves the connections that were open when it was asked for, and no later ones.
func TestInquiriesAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &reporter{start: 7, delay: 10 * time.Millisecond}
		subject := attester.NewAttester(kernel.NewDiscardCommon("gateway"), server)
		listed, opened := placer.Server{ID: "s", Incarnation: 7}, time.Now()

		for range 5 {
			go func() { _ = subject.Confirm(context.Background(), listed, opened) }()
		}

		synctest.Wait()
		time.Sleep(time.Second)
		require.NoError(t, subject.Confirm(t.Context(), listed, opened))
		require.Equal(t, 1, server.asked)

		require.NoError(t, subject.Confirm(t.Context(), listed, time.Now()))
		require.Equal(t, 2, server.asked, "a connection that was opened later")

		server.start = 8
		listed.Incarnation = 8

		require.NoError(t, subject.Confirm(t.Context(), listed, opened))
		require.Equal(t, 3, server.asked, "another start is listed")
	})
}

// A server is silent when it is asked for its start. Its answer was not awaited, or kept what had arrived
// from it waiting.
func TestSilenceEndsOrDelaysAnInquiry(t *testing.T) {
	const listed, patience = 7, 100 * time.Millisecond

	for name, scenario := range map[string]struct {
		delay, arrives time.Duration
		confirmed      bool
		took           time.Duration
	}{
		"nothing else arrives":        {1500 * time.Millisecond, time.Minute, true, 1500 * time.Millisecond},
		"a part arrives meanwhile":    {1500 * time.Millisecond, 250 * time.Millisecond, false, 300 * time.Millisecond},
		"a part has arrived before":   {1500 * time.Millisecond, 0, false, patience},
		"the server never says it":    {time.Minute, time.Minute, false, 2 * time.Second},
		"the answer comes in between": {50 * time.Millisecond, 0, true, 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			err, took := error(nil), time.Duration(0)

			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				subject := attester.NewAttester(kernel.NewDiscardCommon("gateway"), &reporter{start: listed, delay: scenario.delay})
				err = subject.ConfirmWhile(t.Context(), placer.Server{ID: "s", Incarnation: listed}, began, patience, func() bool { return time.Since(began) < scenario.arrives })
				took = time.Since(began)

				// The inquiry goes on for others.
				time.Sleep(time.Minute)
			})

			require.Equal(t, scenario.confirmed, err == nil)
			require.Equal(t, scenario.took, took)
		})
	}
}
