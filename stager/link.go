package stager

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// copyBytes is what a link passes on at once.
const copyBytes = 16 << 10

// Disturbance is what a link does to what passes it.
type Disturbance struct {
	// Delay comes before each part that is passed on, in either direction.
	Delay time.Duration
	// SwallowUp and SwallowDown drop what is sent to the target and back from
	// it. Neither end is told.
	SwallowUp   bool
	SwallowDown bool
	// Refuse closes new connections at once.
	Refuse bool
}

// Link is a proxy on loopback in front of a target.
type Link struct {
	// Address is where the link listens.
	Address string
	Target  string

	mutex       sync.Mutex
	disturbance Disturbance
	open        map[*net.TCPConn]bool
}

// NewLink starts a link that lasts until the context ends.
func NewLink(ctx context.Context, target string) (*Link, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotate(err, "starting a link")
	}

	link := &Link{Address: listener.Addr().String(), Target: target, open: map[*net.TCPConn]bool{}}

	context.AfterFunc(ctx, func() {
		listener.Close()
		link.Reset()
	})

	go link.accept(ctx, listener)

	return link, nil
}

// Set replaces the disturbance. It holds for open connections, too.
func (link *Link) Set(disturbance Disturbance) {
	link.mutex.Lock()
	defer link.mutex.Unlock()

	link.disturbance = disturbance
}

// Reset breaks all open connections.
func (link *Link) Reset() {
	link.mutex.Lock()
	defer link.mutex.Unlock()

	for conn := range link.open {
		// Zero makes the close a reset. A connection that has ended takes neither.
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

		go link.carry(ctx, conn.(*net.TCPConn)) //nolint:forcetypeassert // The listener is of TCP.
	}
}

// carry passes bytes both ways until either end closes.
func (link *Link) carry(ctx context.Context, caller *net.TCPConn) {
	defer caller.Close()

	if link.now().Refuse {
		return
	}

	dialled, err := (&net.Dialer{}).DialContext(ctx, "tcp", link.Target)
	if err != nil {
		return
	}

	target := dialled.(*net.TCPConn) //nolint:forcetypeassert // The network is TCP.
	defer target.Close()

	link.note(caller, target)
	defer link.forget(caller, target)

	ended := make(chan struct{}, 2)

	go func() {
		link.pass(target, caller, func(now Disturbance) bool { return now.SwallowUp })
		ended <- struct{}{}
	}()
	go func() {
		link.pass(caller, target, func(now Disturbance) bool { return now.SwallowDown })
		ended <- struct{}{}
	}()

	<-ended
}

// pass copies one direction.
func (link *Link) pass(to io.Writer, from io.Reader, swallowed func(Disturbance) bool) {
	buffer := make([]byte, copyBytes)

	for {
		count, err := from.Read(buffer)
		now := link.now()

		time.Sleep(now.Delay)

		if count > 0 && !swallowed(now) {
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}

		if err != nil {
			return
		}
	}
}

func (link *Link) now() Disturbance {
	link.mutex.Lock()
	defer link.mutex.Unlock()

	return link.disturbance
}

func (link *Link) note(conns ...*net.TCPConn) {
	link.mutex.Lock()
	defer link.mutex.Unlock()

	for _, conn := range conns {
		link.open[conn] = true
	}
}

func (link *Link) forget(conns ...*net.TCPConn) {
	link.mutex.Lock()
	defer link.mutex.Unlock()

	for _, conn := range conns {
		delete(link.open, conn)
	}
}
