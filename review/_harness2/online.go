package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"sync"
	"time"

	"limpetrail/emulator"
)

func init() { cases["online"] = playOnline }

const onlineConfiguration = `{"version":3,"routes":[
 {"name":"once","host":"host.example","prefix":"/once/","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":300,"service":"app","maxAttempts":1,"priority":2},
 {"name":"idem","host":"host.example","prefix":"/idem/","kind":"idempotent","timeoutMs":3000,"targetLatencyMs":300,"service":"app","maxAttempts":3,"priority":2}],
 "services":[{"name":"app","healthPath":"/healthz","maxConnections":200}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":30000}}`

type tally struct {
	mutex  sync.Mutex
	runs   map[string]int
	bodies map[string]string
	stamps map[string]map[string]string
}

// rawServer speaks HTTP by hand, so that it can misbehave.
type rawServer struct {
	id     string
	tally  *tally
	random *rand.Rand
	mutex  sync.Mutex
	calm   bool
	record *record
}

func (server *rawServer) draw(n int) int {
	server.mutex.Lock()
	defer server.mutex.Unlock()

	return server.random.Intn(n)
}

func (server *rawServer) listen(ctx context.Context) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	context.AfterFunc(ctx, func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.serve(conn.(*net.TCPConn))
		}
	}()

	return listener.Addr().String(), nil
}

func answerBody(id, server string) string {
	sum := sha256.Sum256([]byte(id))
	size := int(sum[0]) * 40
	if sum[1] < 20 {
		size = 300_000
	}

	return strings.Repeat(fmt.Sprintf("%s@%s ", id, server), size/40+1)
}

func (server *rawServer) serve(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	late := ""

	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if late != "" {
			_, _ = io.WriteString(conn, late)
			late = ""
		}
		id := request.Header.Get("X-Limpetrail-Attempt-Id")
		if id == "" {
			_, _ = io.Copy(io.Discard, request.Body)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Limpetrail-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", server.id)
			continue
		}
		behaviour := server.draw(22)
		if server.calm {
			behaviour = 21
		}
		head := fmt.Sprintf("X-Limpetrail-Attempt-Id: %s\r\nX-Limpetrail-Instance-Id: %s\r\n", id, server.id)
		if expected := request.Header.Get("X-Limpetrail-Expect-Instance"); expected != server.id {
			_, _ = io.Copy(io.Discard, request.Body)
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected\r\n%sContent-Length: 0\r\n\r\n", head)
			continue
		}
		switch behaviour {
		case 0: // full
			_, _ = io.Copy(io.Discard, request.Body)
			fmt.Fprintf(conn, "HTTP/1.1 503 Full\r\n%sX-Limpetrail-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull", head)
			continue
		case 1: // full, before the body is read
			fmt.Fprintf(conn, "HTTP/1.1 503 Full\r\n%sX-Limpetrail-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull", head)
			_, _ = io.Copy(io.Discard, request.Body)
			continue
		case 2: // reset before it runs
			_ = conn.SetLinger(0)
			return
		}
		server.tally.mutex.Lock()
		server.tally.runs[id]++
		stamp := fmt.Sprintf("%s.%s.%d", server.id, id, server.tally.runs[id])
		server.tally.mutex.Unlock()
		body := answerBody(id, server.id)
		ok := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sX-Limpetrail-Response-Stamp: %s\r\n", head, stamp)
		early := behaviour == 3 || behaviour == 4
		finish := func() {
			content, err := io.ReadAll(request.Body)
			if err == nil {
				server.tally.mutex.Lock()
				server.tally.bodies[id] = fmt.Sprintf("%s %s %x", request.Method, request.RequestURI, sha256.Sum256(content))
				server.tally.mutex.Unlock()
			}
		}
		if !early {
			finish()
			time.Sleep(time.Duration(server.draw(25)) * time.Millisecond)
		}
		switch behaviour {
		case 3: // early answer with a length, the rest of the body is read later
			fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", ok, len(body), body)
			time.Sleep(20 * time.Millisecond)
			finish()
		case 4: // early answer without a length, then reset
			fmt.Fprintf(conn, "%sConnection: close\r\n\r\n%s", ok, body[:len(body)/2])
			time.Sleep(5 * time.Millisecond)
			_ = conn.SetLinger(0)
			return
		case 5: // runs and resets
			_ = conn.SetLinger(0)
			return
		case 6: // runs and closes
			return
		case 7: // breaks off
			fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", ok, len(body), body[:len(body)/3])
			return
		case 8: // chunked, broken off
			fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", ok, len(body), body)
			return
		case 9: // bytes that are no answer
			_, _ = io.WriteString(conn, "\x00\x01garbage\r\n\r\n")
			return
		case 10: // an extra answer right after
			fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s%sContent-Length: 5\r\n\r\nextra", ok, len(body), body, ok)
		case 11, 12: // an extra answer where the next one is expected
			fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", ok, len(body), body)
			late = ok + "Content-Length: 5\r\n\r\nextra"
		case 13: // fails
			fmt.Fprintf(conn, "HTTP/1.1 500 Error\r\n%sX-Limpetrail-Response-Stamp: %s\r\nContent-Length: 5\r\n\r\nerror", head, stamp)
		case 14: // informational first
			fmt.Fprintf(conn, "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n%sContent-Length: %d\r\n\r\n%s", ok, len(body), body)
		case 15: // no length, ends with its channel
			fmt.Fprintf(conn, "%sConnection: close\r\n\r\n%s", ok, body)
			return
		case 16: // the channel closes silently after the answer
			fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", ok, len(body), body)
			return
		case 17: // slow to begin
			time.Sleep(600 * time.Millisecond)
			fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", ok, len(body), body)
		case 18: // chunked
			writer := httputil.NewChunkedWriter(conn)
			fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n", ok)
			_, _ = io.WriteString(writer, body[:len(body)/2])
			time.Sleep(5 * time.Millisecond)
			_, _ = io.WriteString(writer, body[len(body)/2:])
			writer.Close()
			_, _ = io.WriteString(conn, "\r\n")
		case 19: // another request's answer
			fmt.Fprintf(conn, "%sContent-Length: 5\r\n\r\nother", strings.ReplaceAll(ok, id, "f00f"))
		default:
			fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", ok, len(body), body)
		}
	}
}

func playOnline(ctx context.Context, record *record, trouble bool) int {
	seed := int64(envInt("SEED", 1))
	fleet, err := newFleet(ctx, record, onlineConfiguration)
	if err != nil {
		return cannotRun
	}
	defer fleet.end()
	counts := &tally{runs: map[string]int{}, bodies: map[string]string{}}
	for number := range 4 {
		server := &rawServer{id: fmt.Sprintf("i-%d", number), tally: counts, random: rand.New(rand.NewSource(seed*10 + int64(number))), calm: !trouble, record: record}
		address, err := server.listen(ctx)
		if err != nil {
			return cannotRun
		}
		fleet.addServer(server.id, "app", address, 30)
	}
	if fleet.prepare(ctx, 2, 3, 284, 304) != nil || fleet.startAll() != nil {
		return cannotRun
	}
	time.Sleep(time.Second)

	result, mutex := held, sync.Mutex{}
	refusedOnce := map[string]int{}
	statuses := map[string]int{}
	fail := func(format string, arguments ...any) {
		mutex.Lock()
		defer mutex.Unlock()
		result = broken
		record.log("BROKEN "+format, arguments...)
	}
	group := sync.WaitGroup{}
	until := time.Now().Add(time.Duration(envInt("LOAD_S", 25)) * time.Second)
	for worker := range 24 {
		group.Go(func() {
			random := rand.New(rand.NewSource(seed*1000 + int64(worker)))
			var conn net.Conn
			var reader *bufio.Reader
			for number := 0; time.Now().Before(until); number++ {
				if conn == nil {
					conn, err = net.Dial("tcp", fleet.gateways[random.Intn(2)].callers)
					if err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
					reader = bufio.NewReader(conn)
				}
				id := fmt.Sprintf("%08x%04x%04x", seed, worker, number)
				kind := []string{"once", "idem"}[random.Intn(2)]
				content := bytes.Repeat([]byte{byte(number)}, []int{0, 10, 900, 20_000, 200_000, 1_000_000}[random.Intn(6)])
				_, _ = random.Read(content[:min(len(content), 500)])
				target := fmt.Sprintf("/%s/2f//a%%2fb/../x;p?q=%s&&%%20=+", kind, id)
				head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Limpetrail-Attempt-Id: %s\r\nX-Limpetrail-Deadline-Ms: 3000\r\n", target, routeHost, id)
				_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
				if random.Intn(3) == 0 {
					head += "Transfer-Encoding: chunked\r\n\r\n"
					_, _ = io.WriteString(conn, head)
					writer := httputil.NewChunkedWriter(conn)
					for rest := content; len(rest) > 0; {
						size := min(len(rest), 1+random.Intn(70_000))
						_, _ = writer.Write(rest[:size])
						rest = rest[size:]
					}
					writer.Close()
					_, _ = io.WriteString(conn, "\r\n")
				} else {
					_, _ = io.WriteString(conn, head+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(content)))
					_, _ = conn.Write(content)
				}
				response, err := http.ReadResponse(reader, &http.Request{Method: "POST"})
				if err != nil {
					mutex.Lock()
					statuses[kind+" closed"]++
					mutex.Unlock()
					conn.Close()
					conn = nil
					continue
				}
				got, err := io.ReadAll(response.Body)
				mutex.Lock()
				statuses[fmt.Sprintf("%s %d", kind, response.StatusCode)]++
				mutex.Unlock()
				stamp := response.Header.Get("X-Limpetrail-Response-Stamp")
				if err == nil && response.StatusCode == 200 {
					parts := strings.Split(stamp, ".")
					if len(parts) != 3 || parts[1] != id || string(got) != answerBody(id, parts[0]) {
						fail("MIXED %s: stamp %q, %d bytes %.60q", id, stamp, len(got), got)
					}
				}
				if response.StatusCode != 200 && stamp != "" && response.StatusCode != 500 {
					fail("MIXED %s: %d with stamp", id, response.StatusCode)
				}
				if kind == "once" && (response.StatusCode == 503 || response.StatusCode == 429 || response.StatusCode == 408 || response.StatusCode == 421) {
					mutex.Lock()
					refusedOnce[id] = response.StatusCode
					mutex.Unlock()
				}
				want := fmt.Sprintf("POST %s %x", target, sha256.Sum256(content))
				counts.mutex.Lock()
				ran := counts.bodies[id]
				counts.mutex.Unlock()
				if ran != "" && ran != want {
					fail("UNASKED %s: %s, not %s", id, ran, want)
				}
				if err != nil || response.Close {
					conn.Close()
					conn = nil
				}
			}
			if conn != nil {
				conn.Close()
			}
		})
	}
	group.Wait()
	time.Sleep(4 * time.Second)
	counts.mutex.Lock()
	defer counts.mutex.Unlock()
	for id, status := range refusedOnce {
		if counts.runs[id] > 0 {
			fail("REFUSED %s: %d, ran %d times", id, status, counts.runs[id])
		}
	}
	for id, target := range counts.bodies {
		if strings.Contains(target, " /once/") && counts.runs[id] > 1 {
			fail("TWICE %s ran %d times", id, counts.runs[id])
		}
		if counts.runs[id] > 3 {
			fail("BUDGET %s ran %d times", id, counts.runs[id])
		}
	}
	record.log("%v, %d ran", statuses, len(counts.runs))
	_ = emulator.PlatformReady

	return result
}
