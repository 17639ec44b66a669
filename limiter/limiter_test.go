package limiter_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"limpetrail/emulator"
	"limpetrail/kernel"
	"limpetrail/limiter"
	"limpetrail/matcher"
)

const whole = "GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n"

// stage is a server under limits on an in-memory network.
type stage struct {
	t             *testing.T
	network       *emulator.Network
	configuration *matcher.Current
	version       int64
	served        atomic.Int64
	conn          net.Conn
	answers       *bufio.Reader
}

// play runs a story in a bubble.
func play(t *testing.T, limits matcher.Limits, story func(stage *stage)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		common := kernel.Discard("entry-1")
		stage := &stage{t: t, network: emulator.NewNetwork(), configuration: matcher.NewCurrent(common)}
		stage.limit(limits)

		limits := limiter.NewLimiter(common, stage.configuration)
		server := limits.Server(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { stage.served.Add(1) }))
		ended := make(chan error)

		go func() { ended <- server.Serve(limits.Listen(stage.network.Listen("entry-1"))) }()

		synctest.Wait()
		stage.open()
		story(stage)

		require.NoError(t, server.Close())
		stage.network.Close()
		require.ErrorIs(t, <-ended, http.ErrServerClosed)
	})
}

// limit puts a configuration with the limits in force.
func (stage *stage) limit(limits matcher.Limits) {
	stage.version++
	stage.configuration.Apply(matcher.NewDocument(stage.version, nil, nil, limits))
}

func (stage *stage) open() {
	conn, err := stage.network.DialContext(context.Background(), "tcp", "entry-1")
	require.NoError(stage.t, err)

	stage.conn, stage.answers = conn, bufio.NewReader(conn)
}

// sends writes a part of a request after a pause.
func (stage *stage) sends(part string, pause time.Duration) {
	time.Sleep(pause)

	_, err := stage.conn.Write([]byte(part))
	require.NoError(stage.t, err)
}

// expects reads an answer with the status.
func (stage *stage) expects(status int) {
	require.NoError(stage.t, stage.conn.SetReadDeadline(time.Now().Add(time.Minute)))

	answer, err := http.ReadResponse(stage.answers, nil)
	require.NoError(stage.t, err)
	require.Equal(stage.t, status, answer.StatusCode)

	_, err = io.Copy(io.Discard, answer.Body)
	require.NoError(stage.t, err)
	require.NoError(stage.t, answer.Body.Close())
}

// expectsClosed waits for the end of the connection and returns how long it took.
func (stage *stage) expectsClosed() time.Duration {
	begun := time.Now()

	// A connection that is closed already takes no deadline.
	if err := stage.conn.SetReadDeadline(begun.Add(24 * time.Hour)); err != nil {
		require.ErrorIs(stage.t, err, io.ErrClosedPipe)
	}

	_, err := stage.answers.ReadByte()
	require.Error(stage.t, err)
	require.NotErrorIs(stage.t, err, os.ErrDeadlineExceeded)

	return time.Since(begun)
}

func limits() matcher.Limits {
	return matcher.Limits{HeaderBytes: 2000, HeaderTimeout: 2 * time.Second, IdleTimeout: 10 * time.Second}
}

func TestSlowHeads(t *testing.T) {
	for name, scenario := range map[string]struct {
		pauses []time.Duration
		served bool
	}{
		"one part":                   {[]time.Duration{0}, true},
		"slow and within the limit":  {[]time.Duration{0, 900 * time.Millisecond, 900 * time.Millisecond}, true},
		"the limit counts from byte": {[]time.Duration{9 * time.Second, 1900 * time.Millisecond}, true},
		"over the limit":             {[]time.Duration{0, 1900 * time.Millisecond, 200 * time.Millisecond}, false},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, limits(), func(stage *stage) {
				for index, pause := range scenario.pauses {
					if !scenario.served && index == len(scenario.pauses)-1 {
						break
					}

					from, to := index*len(whole)/len(scenario.pauses), (index+1)*len(whole)/len(scenario.pauses)
					stage.sends(whole[from:to], pause)
				}

				if scenario.served {
					stage.expects(http.StatusOK)

					return
				}

				stage.expects(http.StatusRequestTimeout)
				stage.expectsClosed()
				require.Zero(t, stage.served.Load())
			})
		})
	}
}

// A request that was told that it will not run does not run, whatever of its
// head comes later.
func TestExpiredHeadIsNeverServed(t *testing.T) {
	play(t, limits(), func(stage *stage) {
		stage.sends(whole[:10], 0)
		time.Sleep(2100 * time.Millisecond)

		// The network takes what it takes; the server has closed.
		_, _ = stage.conn.Write([]byte(whole[10:]))

		time.Sleep(time.Minute)
		require.Zero(t, stage.served.Load())
	})
}

func TestIdleConnections(t *testing.T) {
	play(t, limits(), func(stage *stage) {
		for range 3 {
			// Callers use connections again within four fifths of the limit.
			stage.sends(whole, 8*time.Second)
			stage.expects(http.StatusOK)
		}

		require.Equal(t, 10*time.Second, stage.expectsClosed().Round(time.Millisecond))
	})
}

// Limits hold from the configuration that brings them, also for connections
// that were opened before.
func TestLimitsChangeWhileConnectionsAreOpen(t *testing.T) {
	play(t, limits(), func(stage *stage) {
		stage.sends(whole, 0)
		stage.expects(http.StatusOK)

		longer := limits()
		longer.IdleTimeout = 10 * time.Minute
		longer.HeaderBytes = 100_000
		stage.limit(longer)

		stage.sends(whole, 8*time.Second)
		stage.expects(http.StatusOK)

		stage.sends(long(90_000), 8*time.Minute)
		stage.expects(http.StatusOK)

		stage.limit(limits())
		stage.sends(long(90_000), time.Second)
		stage.expects(http.StatusRequestHeaderFieldsTooLarge)
		stage.expectsClosed()
	})
}

// long is a request with a head of about so many bytes.
func long(bytes int) string {
	return fmt.Sprintf("GET /x HTTP/1.1\r\nHost: a.example\r\nX-Long: %s\r\n\r\n", strings.Repeat("x", bytes))
}

func TestLongHeads(t *testing.T) {
	for name, scenario := range map[string]struct {
		bytes, status int
	}{
		"within the limit":           {1900, http.StatusOK},
		"over the limit":             {2100, http.StatusRequestHeaderFieldsTooLarge},
		"over what a server may use": {3 << 20, http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, limits(), func(stage *stage) {
				// The server stops reading heads that are far too long.
				go func() { _, _ = stage.conn.Write([]byte(long(scenario.bytes))) }()

				stage.expects(scenario.status)
			})
		})
	}
}

func TestDefaultsWithoutAConfiguration(t *testing.T) {
	play(t, matcher.Limits{}, func(stage *stage) {
		stage.sends(long(30_000), time.Minute)
		stage.expects(http.StatusOK)
		require.Equal(t, 2*time.Minute, stage.expectsClosed().Round(time.Millisecond))
	})
}
