package deployer

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetrail/kernel"
)

// linkBufferBytes is the size of the buffer of each direction.
const linkBufferBytes = 16 << 10

// LinkFaults are the network faults that a link injects.
type LinkFaults struct {
	// Delay delays each chunk, in either direction.
	Delay time.Duration
	// DropToTarget and DropFromTarget discard the bytes sent to the target or from it.
	// The connections stay open, so neither end notices.
	DropToTarget   bool
	DropFromTarget bool
	// RefuseConnections closes new connections immediately.
	RefuseConnections bool
}

// Link is a TCP proxy on loopback in front of a target.
type Link struct {
	// Address is the address that the link listens on.
	Address string

	mutex           sync.Mutex
	target          string
	faults          LinkFaults
	openConnections map[*net.TCPConn]bool
	listener        net.Listener
	// down is set while nothing listens, so that connections are refused.
	down bool
}

// NewLink starts a link that runs until the context ends.
func NewLink(ctx context.Context, target string) (*Link, error) {
	listener, err := listenFree(ctx)
	if err != nil {
		return nil, errors.Annotate(err, "starting a link")
	}

	link := &Link{Address: listener.Addr().String(), target: target, openConnections: map[*net.TCPConn]bool{}, listener: listener}

	context.AfterFunc(ctx, func() {
		link.stopListening()
		link.ResetConnections()
	})

	go link.accept(ctx, listener)

	return link, nil
}

// SetFaults replaces the faults, also for open connections.
func (link *Link) SetFaults(faults LinkFaults) {
	link.mutex.Lock()
	defer link.mutex.Unlock()

	link.faults = faults
}

// SetTarget leads new connections to another target, and resets those to the former one.
func (link *Link) SetTarget(target string) {
	link.mutex.Lock()
	link.target = target
	link.mutex.Unlock()

	link.ResetConnections()
}

func (link *Link) currentTarget() string {
	link.mutex.Lock()
	defer link.mutex.Unlock()

	return link.target
}

// Crash resets all connections and refuses new ones for a while, as when the target's
// process ends and is started again. It returns when the link listens again, and false if
// it is down already or the context ends.
func (link *Link) Crash(ctx context.Context, downtime time.Duration) bool {
	if !link.stopListening() {
		return false
	}

	link.ResetConnections()

	if !kernel.Pause(ctx, downtime) {
		return false
	}

	for {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", link.Address)
		if err == nil {
			link.mutex.Lock()
			link.listener, link.down = listener, false
			link.mutex.Unlock()

			go link.accept(ctx, listener)

			return true
		}

		// Another process may look for a free port there at this moment.
		if !kernel.Pause(ctx, relistenPause) {
			return false
		}
	}
}

// relistenPause is the pause between attempts to listen at an address that is in use.
const relistenPause = 20 * time.Millisecond

// stopListening closes the listener. It returns false if that is done already.
func (link *Link) stopListening() bool {
	link.mutex.Lock()
	defer link.mutex.Unlock()

	if link.down {
		return false
	}

	link.down = true
	link.listener.Close()

	return true
}

// ResetConnections closes all open connections with a TCP reset.
func (link *Link) ResetConnections() {
	link.mutex.Lock()
	defer link.mutex.Unlock()

	for conn := range link.openConnections {
		// With a linger of 0, Close sends a reset. Both calls fail on a connection that
		// is already closed.
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

func (link *Link) accept(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}

		go link.proxy(ctx, conn.(*net.TCPConn)) //nolint:forcetypeassert // The listener is of TCP.
	}
}

// proxy copies bytes in both directions until either end closes.
func (link *Link) proxy(ctx context.Context, caller *net.TCPConn) {
	defer caller.Close()

	if link.currentFaults().RefuseConnections {
		return
	}

	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", link.currentTarget())
	if err != nil {
		return
	}

	target := connection.(*net.TCPConn) //nolint:forcetypeassert // The network is TCP.
	defer target.Close()

	link.addConnections(caller, target)
	defer link.removeConnections(caller, target)

	closed := make(chan struct{}, 2)

	go func() {
		link.copyDirection(target, caller, func(faults LinkFaults) bool { return faults.DropToTarget })
		closed <- struct{}{}
	}()
	go func() {
		link.copyDirection(caller, target, func(faults LinkFaults) bool { return faults.DropFromTarget })
		closed <- struct{}{}
	}()

	<-closed
}

// copyDirection copies bytes in one direction and applies the faults to them.
func (link *Link) copyDirection(to io.Writer, from io.Reader, dropped func(LinkFaults) bool) {
	buffer := make([]byte, linkBufferBytes)

	for {
		count, err := from.Read(buffer)
		faults := link.currentFaults()

		time.Sleep(faults.Delay)

		if count > 0 && !dropped(faults) {
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}

		if err != nil {
			return
		}
	}
}

func (link *Link) currentFaults() LinkFaults {
	link.mutex.Lock()
	defer link.mutex.Unlock()

	return link.faults
}

func (link *Link) addConnections(conns ...*net.TCPConn) {
	link.mutex.Lock()
	defer link.mutex.Unlock()

	for _, conn := range conns {
		link.openConnections[conn] = true
	}
}

func (link *Link) removeConnections(conns ...*net.TCPConn) {
	link.mutex.Lock()
	defer link.mutex.Unlock()

	for _, conn := range conns {
		delete(link.openConnections, conn)
	}
}
