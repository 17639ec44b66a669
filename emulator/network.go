package emulator

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// Network is an in-memory network whose open connections can go silent while
// new ones work, as when something between two ends has lost track of them.
type Network struct {
	mutex     sync.Mutex
	listeners map[string]*networkListener
	links     []*networkLink
	dials     map[string]int
}

var (
	_ net.Listener = (*networkListener)(nil)
	_ net.Conn     = (*networkEnd)(nil)
)

// acceptBacklog bounds the connections that wait to be accepted.
const acceptBacklog = 1024

// NewNetwork returns a network on which nobody listens.
func NewNetwork() *Network {
	return &Network{listeners: map[string]*networkListener{}, dials: map[string]int{}}
}

// Listen takes the address until the listener is closed.
func (network *Network) Listen(address string) net.Listener {
	network.mutex.Lock()
	defer network.mutex.Unlock()

	listener := &networkListener{network: network, address: address, arrivals: make(chan net.Conn, acceptBacklog), closed: make(chan struct{})}
	network.listeners[address] = listener

	return listener
}

// DialContext connects to a listener; without one the connection is refused.
func (network *Network) DialContext(_ context.Context, _, address string) (net.Conn, error) {
	network.mutex.Lock()
	defer network.mutex.Unlock()

	network.dials[address]++

	listener, found := network.listeners[address]
	if !found {
		return nil, errors.Errorf("connection to %s refused", address)
	}

	near, far := net.Pipe()
	link := &networkLink{address: address}
	link.near = &networkEnd{Conn: near, silent: &link.up}
	link.far = &networkEnd{Conn: far, silent: &link.down}
	network.links = append(network.links, link)
	listener.arrivals <- link.far

	return link.near, nil
}

// Dials returns how often the address was dialled.
func (network *Network) Dials(address string) int {
	network.mutex.Lock()
	defer network.mutex.Unlock()

	return network.dials[address]
}

// Silence makes the connections that are open now swallow what is sent in the
// given directions: up from the dialling end, down to it. Neither end is told.
func (network *Network) Silence(up, down bool) {
	network.mutex.Lock()
	defer network.mutex.Unlock()

	for _, link := range network.links {
		link.up.Store(up)
		link.down.Store(down)
	}
}

// Break closes the open connections to the address, as when a process dies.
func (network *Network) Break(address string) {
	network.mutex.Lock()
	defer network.mutex.Unlock()

	for _, link := range network.links {
		if link.address == address {
			link.close()
		}
	}
}

// Close closes every connection and listener.
func (network *Network) Close() {
	network.mutex.Lock()
	defer network.mutex.Unlock()

	for _, link := range network.links {
		link.close()
	}
}

type networkLink struct {
	address   string
	near, far *networkEnd
	up, down  atomic.Bool
}

func (link *networkLink) close() {
	link.near.Conn.Close()
	link.far.Conn.Close()
}

// networkEnd is one end of a connection.
type networkEnd struct {
	net.Conn

	// silent tells that nothing sent from this end arrives.
	silent *atomic.Bool
	closed atomic.Bool
}

// Write implements net.Conn.
func (end *networkEnd) Write(bytes []byte) (int, error) {
	if end.silent.Load() && !end.closed.Load() {
		return len(bytes), nil
	}

	return end.Conn.Write(bytes)
}

// Close implements net.Conn. The other end of a silent connection does not
// learn of it.
func (end *networkEnd) Close() error {
	if !end.silent.Load() {
		return end.Conn.Close()
	}

	end.closed.Store(true)

	return end.SetDeadline(time.Unix(1, 0))
}

// Read implements net.Conn.
func (end *networkEnd) Read(bytes []byte) (int, error) {
	if end.closed.Load() {
		return 0, os.ErrClosed
	}

	return end.Conn.Read(bytes)
}

type networkListener struct {
	network  *Network
	address  string
	arrivals chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

// Accept implements net.Listener.
func (listener *networkListener) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.arrivals:
		return conn, nil
	case <-listener.closed:
		return nil, errors.Trace(net.ErrClosed)
	}
}

// Close implements net.Listener.
func (listener *networkListener) Close() error {
	listener.network.mutex.Lock()
	defer listener.network.mutex.Unlock()

	if listener.network.listeners[listener.address] == listener {
		delete(listener.network.listeners, listener.address)
	}

	listener.once.Do(func() { close(listener.closed) })

	return nil
}

// Addr implements net.Listener.
func (listener *networkListener) Addr() net.Addr {
	return networkAddress(listener.address)
}

type networkAddress string

// Network implements net.Addr.
func (address networkAddress) Network() string { return "memory" }

// String implements net.Addr.
func (address networkAddress) String() string { return string(address) }
