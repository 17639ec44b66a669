package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"limpetrail/emulator"
)

func init() { cases["silence"] = playSilence }

// wire is a proxy whose open connections can go silent, while new ones work.
type wire struct {
	address, target string
	mutex           sync.Mutex
	open            map[*wireConn]bool
}

type wireConn struct {
	near, far net.Conn
	mutex     sync.Mutex
	silent    bool
}

func newWire(ctx context.Context, target string) (*wire, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}

	created := &wire{address: listener.Addr().String(), target: target, open: map[*wireConn]bool{}}
	context.AfterFunc(ctx, func() { listener.Close() })

	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}

			go created.pass(near)
		}
	}()

	return created, nil
}

func (wire *wire) pass(near net.Conn) {
	far, err := net.Dial("tcp", wire.target)
	if err != nil {
		near.Close()

		return
	}

	conn := &wireConn{near: near, far: far}
	wire.mutex.Lock()
	wire.open[conn] = true
	wire.mutex.Unlock()

	ended := make(chan struct{}, 2)
	go func() { conn.copy(far, near); ended <- struct{}{} }()
	go func() { conn.copy(near, far); ended <- struct{}{} }()
	<-ended
	near.Close()
	far.Close()
	<-ended
	wire.mutex.Lock()
	delete(wire.open, conn)
	wire.mutex.Unlock()
}

func (conn *wireConn) isSilent() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()

	return conn.silent
}

func (conn *wireConn) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)

	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}

		if conn.isSilent() {
			continue
		}

		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}

// silence lets the open connections go silent for good. Those that are still open after the time in which
// the keep-alive probes of the store's client show it are reset.
func (wire *wire) silence(probes time.Duration) int {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()

	silenced := 0

	for conn := range wire.open {
		conn.mutex.Lock()
		conn.silent = true
		conn.mutex.Unlock()
		silenced++

		time.AfterFunc(probes, func() {
			if tcp, ok := conn.near.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}

			conn.near.Close()
			conn.far.Close()
		})
	}

	return silenced
}

const silenceRoutes = `{"version":%d,"routes":[%s
 {"name":"stream","host":"host.example","prefix":"/stream/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":300,"service":"model","maxAttempts":2,"resumable":true,"gapAimMs":300}],
 "services":[{"name":"model","healthPath":"/healthz"}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":30000}}`

const addedRoute = ` {"name":"added","host":"host.example","prefix":"/added/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":300,"service":"model","maxAttempts":2,"resumable":true,"gapAimMs":300},`

func playSilence(ctx context.Context, record *record, trouble bool) int {
	const contact = 3 * time.Second

	fleet, err := newFleet(ctx, record, fmt.Sprintf(silenceRoutes, 3, ""))
	if err != nil {
		return cannotRun
	}
	defer fleet.end()

	servers := []*emulator.EventServer{}
	addresses := []string{}

	for number := range 3 {
		server := emulator.NewEventServer(fmt.Sprintf("i-%d", number), emulator.PlatformEventHeaders())
		server.EventCount, server.EventInterval = 5, 5*time.Millisecond

		address, err := serve(ctx, server)
		if err != nil {
			return cannotRun
		}

		servers, addresses = append(servers, server), append(addresses, address)
		fleet.addServer(server.ID, "model", address, 8)
	}

	wires := []*wire{}
	store := fleet.storeAddress
	_ = store
	fleet.makeWire = func() (string, error) {
		added, err := newWire(ctx, store)
		if err != nil {
			return "", err
		}
		wires = append(wires, added)

		return added.address, nil
	}

	if fleet.prepare(ctx, envInt("GATEWAYS", 3), 3, 284, 304) != nil || fleet.startAll() != nil {
		return cannotRun
	}

	time.Sleep(15 * time.Second)

	version, result := 3, held
	for round := range envInt("ROUNDS", 4) {
		silentAt := time.Now()
		if trouble {
			for _, wire := range wires {
				record.log("%d connections go silent", wire.silence(3200*time.Millisecond))
			}
		}
		after := time.Duration(envInt("AFTER_MS", 300)) * time.Millisecond
		time.Sleep(after)
		version++
		fleet.store.Catalog.Put(emulator.PlatformDocumentKey, []byte(fmt.Sprintf(silenceRoutes, version, fmt.Sprintf(`{"name":"added","host":"host.example","prefix":"/added-%d/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":300,"service":"model","maxAttempts":2,"resumable":true,"gapAimMs":300},`, version))))
		ackedAt := time.Now()
		record.log("version %d is acknowledged", version)
		due := ackedAt.Add(2 * time.Second)
		if inTouch := silentAt.Add(contact); inTouch.After(due) {
			due = inTouch
		}
		time.Sleep(time.Until(due.Add(60 * time.Millisecond)))
		for until := time.Now().Add(2500 * time.Millisecond); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
			for _, gateway := range fleet.gateways {
				sentAt := time.Now()
				status, _, err := fleet.call(ctx, gateway, http.MethodPost, fmt.Sprintf("/added-%d/x", version), fmt.Sprintf("a%d", time.Now().UnixNano()), []byte("p"))
				if status == 404 || status == 503 {
					record.log("%s: %d, sent %.3f s after the ack, %.3f s after the silence %v", gateway.name, status, sentAt.Sub(ackedAt).Seconds(), sentAt.Sub(silentAt).Seconds(), err)
				}
				if status == 404 {
					result = broken
				}
			}
		}
		_ = round
		time.Sleep(time.Duration(envInt("PAUSE_S", 12)) * time.Second)
	}

	return result
}
