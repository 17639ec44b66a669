package handler

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/urfave/negroni/v3"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"limpetrail/admitter"
	"limpetrail/claimer"
	"limpetrail/classifier"
	"limpetrail/dialer"
	"limpetrail/dispatcher"
	"limpetrail/driver"
	"limpetrail/editor"
	"limpetrail/emulator"
	"limpetrail/executor"
	"limpetrail/kernel"
	"limpetrail/publisher"
	"limpetrail/router"
)

const tokenInterval = 100 * time.Millisecond

// site is two entries before one model and one plain service, over pipes in
// one bubble.
type site struct {
	t       *testing.T
	store   *emulator.Store
	engine  *emulator.Engine
	service *emulator.Service
	// clients reach the entries by name.
	clients map[string]*http.Client

	mutex sync.Mutex
	// connections are those of callers, for cutting them.
	connections []net.Conn
}

func testDocument() editor.Document {
	return editor.Document{
		Firms:      []editor.Firm{{Name: "konevuokra", Share: 1}, {Name: "kilimanjaro", Share: 1}},
		Workspaces: []editor.Workspace{{Name: "hire", Firm: "konevuokra"}},
		Services: []editor.Service{
			{Name: "reader", Kind: editor.ServiceKindModel, Idempotent: true},
			{Name: "drafter", Kind: editor.ServiceKindModel},
			{Name: "order", Kind: editor.ServiceKindPlain},
			{Name: "stock", Kind: editor.ServiceKindPlain, Idempotent: true},
			{Name: "briefing", Kind: editor.ServiceKindModel, Firm: "kilimanjaro"},
		},
	}
}

func newSite(t *testing.T) *site {
	t.Helper()

	site := &site{
		t:       t,
		store:   emulator.NewStore(),
		engine:  emulator.NewEngine(emulator.WithSteps(emulator.StepModel{Base: tokenInterval})),
		service: emulator.NewService(),
		clients: map[string]*http.Client{},
	}

	ctx, cancel := context.WithCancel(t.Context())
	go site.engine.Run(ctx)

	t.Cleanup(func() {
		cancel()
		site.cut()
		// Time stands still after a bubble's test, so its timers run out first.
		time.Sleep(time.Hour)
	})

	sidecars := map[string]*executor.Executor{
		"model": executor.NewExecutor(ctx, kernel.Discard("model"), admitter.NewFixed(8), executor.WithEngine(site.engine)),
		"echo":  executor.NewExecutor(ctx, kernel.Discard("echo"), admitter.NewFixed(8), executor.WithService(echoService{})),
		"plain": executor.NewExecutor(ctx, kernel.Discard("plain"), admitter.NewFixed(8), executor.WithService(site.service)),
	}

	for _, name := range []string{"entry-1", "entry-2"} {
		site.clients[name] = site.entry(ctx, name, sidecars)
	}

	return site
}

// entry starts an entry's HTTP server and returns a client of it.
func (site *site) entry(ctx context.Context, name string, sidecars map[string]*executor.Executor) *http.Client {
	site.t.Helper()

	common := kernel.Discard(name)
	documents := publisher.NewPublisher(common, site.store)
	value, err := json.Marshal(testDocument())
	require.NoError(site.t, err)

	_, err = documents.Take(1, value)
	require.NoError(site.t, err)

	connections := dialer.NewDialer(dialer.WithDialContext(func(_ context.Context, _, address string) (net.Conn, error) {
		near, far := net.Pipe()
		mux := drpcmux.New()

		go func() { _ = drpcserver.New(mux).ServeOne(ctx, far) }()

		return near, executor.NewServer(sidecars[address]).RegisterService(mux)
	}))
	site.t.Cleanup(func() { _ = connections.Close() })

	routes := router.NewRouter(common)
	replicas := []router.Replica{}

	for _, service := range testDocument().Services {
		address := map[string]string{"order": "plain", "stock": "echo"}[service.Name]
		if service.Kind == editor.ServiceKindModel {
			address = "model"
		}

		replicas = append(replicas, router.Replica{Name: service.Name + "-1", Address: address, Service: service.Name})
	}

	routes.Update(replicas)

	calls := dispatcher.NewDispatcher(common, routes, connections)
	inference := NewInference(common, calls, documents, claimer.NewClaimer(common, site.store, calls))
	mux := http.NewServeMux()
	inference.Register(mux)

	chain := negroni.New(negroni.NewRecovery())
	chain.UseHandler(mux)

	return site.serve(chain)
}

// serve answers HTTP over pipes.
func (site *site) serve(handler http.Handler) *http.Client {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	listener := &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}

	go func() { _ = server.Serve(listener) }()

	site.t.Cleanup(func() { _ = server.Close() })

	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()

		site.mutex.Lock()
		site.connections = append(site.connections, near)
		site.mutex.Unlock()

		listener.accepted <- far

		return near, nil
	}}

	return &http.Client{Transport: transport}
}

// cut closes every caller's connection.
func (site *site) cut() {
	site.mutex.Lock()
	defer site.mutex.Unlock()

	for _, connection := range site.connections {
		connection.Close()
	}

	site.connections = nil
}

// echoService answers with what it was sent.
type echoService struct{}

var _ driver.Service = echoService{}

func (echoService) Call(_ context.Context, call driver.ServiceCall) (driver.ServiceAnswer, error) {
	return driver.ServiceAnswer{
		Status:      http.StatusCreated,
		ContentType: "text/plain",
		Body:        []byte(call.Path + " " + call.ContentType + " " + string(call.Body)),
	}, nil
}

// pipeListener accepts the far ends of pipes.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (listener *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.accepted:
		return conn, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

func (listener *pipeListener) Close() error {
	listener.once.Do(func() { close(listener.closed) })

	return nil
}

func (listener *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// inquiry is a request of a caller; empty fields get defaults.
type inquiry struct {
	method  string
	path    string
	body    string
	headers map[string]string
}

// open sends the inquiry to an entry and returns the open answer.
func (site *site) open(entry string, inquiry inquiry) *http.Response {
	site.t.Helper()

	if inquiry.method == "" {
		inquiry.method = http.MethodPost
	}

	request, err := http.NewRequestWithContext(site.t.Context(), inquiry.method, "http://entry"+inquiry.path, strings.NewReader(inquiry.body))
	require.NoError(site.t, err)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(WorkspaceHeader, "hire")

	for name, value := range inquiry.headers {
		request.Header.Set(name, value)
	}

	response, err := site.clients[entry].Do(request)
	require.NoError(site.t, err)

	return response
}

// reply is an answer read to its end.
type reply struct {
	status int
	header http.Header
	body   string
	// cut is set when the connection broke before the end.
	cut bool
}

func (site *site) send(entry string, inquiry inquiry) reply {
	site.t.Helper()

	response := site.open(entry, inquiry)
	defer response.Body.Close()

	body, err := io.ReadAll(response.Body)

	return reply{status: response.StatusCode, header: response.Header, body: string(body), cut: err != nil}
}

// problem decodes a refusal.
func (reply reply) problem(t *testing.T) classifier.Problem {
	t.Helper()
	require.Equal(t, classifier.ProblemContentType, reply.header.Get("Content-Type"), reply.body)

	problem := classifier.Problem{}
	require.NoError(t, json.Unmarshal([]byte(reply.body), &problem))
	require.Equal(t, reply.status, problem.Status)

	return problem
}
