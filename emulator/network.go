package emulator

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Network is an in-memory network. Its open connections can drop all traffic while new
// ones work, as when a device between the two ends has lost its connection state.
type Network struct {
	mutex       sync.Mutex
	listeners   map[string]*networkListener
	connections []*networkConnection
	dialCounts  map[string]int
	// downUntil holds, by address, until when connections are refused.
	downUntil map[string]time.Time
}

var (
	_ net.Listener = (*networkListener)(nil)
	_ net.Conn     = (*connectionEnd)(nil)
)

// acceptBacklog is the maximum number of connections that wait to be accepted.
const acceptBacklog = 1024

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{listeners: map[string]*networkListener{}, dialCounts: map[string]int{}, downUntil: map[string]time.Time{}}
}

// Listen listens at the address until the listener is closed.
func (network *Network) Listen(address string) net.Listener {
	network.mutex.Lock()
	defer network.mutex.Unlock()

	listener := &networkListener{network: network, address: address, pending: make(chan net.Conn, acceptBacklog), closed: make(chan struct{})}
	network.listeners[address] = listener

	return listener
}

// DialContext connects to the listener at the address. It fails if there is none.
func (network *Network) DialContext(_ context.Context, _, address string) (net.Conn, error) {
	network.mutex.Lock()
	defer network.mutex.Unlock()

	network.dialCounts[address]++

	listener, found := network.listeners[address]
	if !found || time.Now().Before(network.downUntil[address]) {
		return nil, errors.Annotatef(syscall.ECONNREFUSED, "connecting to %s", address)
	}

	dialEnd, acceptEnd := net.Pipe()
	connection := &networkConnection{address: address}
	connection.dialEnd = &connectionEnd{Conn: dialEnd, silent: &connection.silentUp}
	connection.acceptEnd = &connectionEnd{Conn: acceptEnd, silent: &connection.silentDown}
	network.connections = append(network.connections, connection)
	listener.pending <- connection.acceptEnd

	return connection.dialEnd, nil
}

// DialCount returns how often the address was dialled.
func (network *Network) DialCount(address string) int {
	network.mutex.Lock()
	defer network.mutex.Unlock()

	return network.dialCounts[address]
}

// DropTraffic makes the connections that are open now discard the bytes sent in the given
// directions: up from the dialling end, down to it. Neither end notices.
func (network *Network) DropTraffic(up, down bool) {
	network.mutex.Lock()
	defer network.mutex.Unlock()

	for _, connection := range network.connections {
		connection.silentUp.Store(up)
		connection.silentDown.Store(down)
	}
}

// CloseConnections closes the open connections to the address, as when a process crashes.
func (network *Network) CloseConnections(address string) {
	network.mutex.Lock()
	defer network.mutex.Unlock()

	for _, connection := range network.connections {
		if connection.address == address {
			connection.close()
		}
	}
}

// Crash refuses connections to the address for a while, as when a process ends and is started
// again. The system closes the process's ends of the open ones.
func (network *Network) Crash(address string, downtime time.Duration) {
	network.mutex.Lock()
	defer network.mutex.Unlock()

	network.downUntil[address] = time.Now().Add(downtime)

	for _, connection := range network.connections {
		if connection.address == address {
			connection.acceptEnd.Conn.Close()
		}
	}
}

// Close closes every connection.
func (network *Network) Close() {
	network.mutex.Lock()
	defer network.mutex.Unlock()

	for _, connection := range network.connections {
		connection.close()
	}
}

type networkConnection struct {
	address              string
	dialEnd, acceptEnd   *connectionEnd
	silentUp, silentDown atomic.Bool
}

func (connection *networkConnection) close() {
	connection.dialEnd.Conn.Close()
	connection.acceptEnd.Conn.Close()
}

// connectionEnd is one end of a connection.
type connectionEnd struct {
	net.Conn

	// silent is set while the bytes sent from this end are dropped.
	silent *atomic.Bool
	closed atomic.Bool
}

// Write implements net.Conn.
func (end *connectionEnd) Write(bytes []byte) (int, error) {
	if end.silent.Load() && !end.closed.Load() {
		return len(bytes), nil
	}

	return end.Conn.Write(bytes)
}

// Close implements net.Conn. The other end of a silent connection doesn't notice.
func (end *connectionEnd) Close() error {
	if !end.silent.Load() {
		return end.Conn.Close()
	}

	end.closed.Store(true)

	return end.SetDeadline(time.Unix(1, 0))
}

// Read implements net.Conn.
func (end *connectionEnd) Read(bytes []byte) (int, error) {
	if end.closed.Load() {
		return 0, os.ErrClosed
	}

	return end.Conn.Read(bytes)
}

type networkListener struct {
	network   *Network
	address   string
	pending   chan net.Conn
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept implements net.Listener.
func (listener *networkListener) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.pending:
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

	listener.closeOnce.Do(func() { close(listener.closed) })

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
