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

// cluster is two entries in front of one model engine and two plain
// services. All connections are in-memory pipes, so that it can run in a
// synctest bubble.
type cluster struct {
	t       *testing.T
	store   *emulator.Store
	engine  *emulator.Engine
	service *emulator.Service
	// clients are HTTP clients by the name of their entry.
	clients map[string]*http.Client

	mutex sync.Mutex
	// callerConnections are the callers' open connections.
	callerConnections []net.Conn
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

func newCluster(t *testing.T) *cluster {
	t.Helper()

	cluster := &cluster{
		t:       t,
		store:   emulator.NewStore(),
		engine:  emulator.NewEngine(emulator.WithSteps(emulator.StepModel{Base: tokenInterval})),
		service: emulator.NewService(),
		clients: map[string]*http.Client{},
	}

	ctx, cancel := context.WithCancel(t.Context())
	go cluster.engine.Run(ctx)

	t.Cleanup(func() {
		cancel()
		cluster.closeConnections()
		// The bubble's clock stops when the test ends, so this lets all timers
		// expire first.
		time.Sleep(time.Hour)
	})

	sidecars := map[string]*executor.Executor{
		"model": executor.NewExecutor(ctx, kernel.NewDiscardCommon("model"), admitter.NewFixed(8), executor.WithEngine(cluster.engine)),
		"echo":  executor.NewExecutor(ctx, kernel.NewDiscardCommon("echo"), admitter.NewFixed(8), executor.WithService(echoService{})),
		"plain": executor.NewExecutor(ctx, kernel.NewDiscardCommon("plain"), admitter.NewFixed(8), executor.WithService(cluster.service)),
	}

	for _, name := range []string{"entry-1", "entry-2"} {
		cluster.clients[name] = cluster.startEntry(ctx, name, sidecars)
	}

	return cluster
}

// startEntry starts an entry's HTTP server and returns a client for it.
func (cluster *cluster) startEntry(ctx context.Context, name string, sidecars map[string]*executor.Executor) *http.Client {
	cluster.t.Helper()

	common := kernel.NewDiscardCommon(name)
	documents := publisher.NewPublisher(common, cluster.store)
	value, err := json.Marshal(testDocument())
	require.NoError(cluster.t, err)

	_, err = documents.ApplyUpdate(1, value)
	require.NoError(cluster.t, err)

	sidecarDialer := dialer.NewDialer(dialer.WithDialContext(func(_ context.Context, _, address string) (net.Conn, error) {
		clientEnd, serverEnd := net.Pipe()
		mux := drpcmux.New()

		go func() { _ = drpcserver.New(mux).ServeOne(ctx, serverEnd) }()

		return clientEnd, executor.NewServer(sidecars[address]).RegisterService(mux)
	}))
	cluster.t.Cleanup(func() { _ = sidecarDialer.Close() })

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

	calls := dispatcher.NewDispatcher(common, routes, sidecarDialer)
	inference := NewInference(common, calls, documents, claimer.NewClaimer(common, cluster.store, calls))
	mux := http.NewServeMux()
	inference.Register(mux)

	chain := negroni.New(negroni.NewRecovery())
	chain.UseHandler(mux)

	return cluster.serve(chain)
}

// serve serves HTTP over pipes and returns a client for it.
func (cluster *cluster) serve(handler http.Handler) *http.Client {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	listener := &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}

	go func() { _ = server.Serve(listener) }()

	cluster.t.Cleanup(func() { _ = server.Close() })

	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		clientEnd, serverEnd := net.Pipe()

		cluster.mutex.Lock()
		cluster.callerConnections = append(cluster.callerConnections, clientEnd)
		cluster.mutex.Unlock()

		listener.accepted <- serverEnd

		return clientEnd, nil
	}}

	return &http.Client{Transport: transport}
}

// closeConnections closes all callers' connections.
func (cluster *cluster) closeConnections() {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()

	for _, connection := range cluster.callerConnections {
		connection.Close()
	}

	cluster.callerConnections = nil
}

// echoService answers with the path, content type and body of the call.
type echoService struct{}

var _ driver.Service = echoService{}

func (echoService) Call(_ context.Context, call driver.ServiceCall) (driver.ServiceAnswer, error) {
	return driver.ServiceAnswer{
		Status:      http.StatusCreated,
		ContentType: "text/plain",
		Body:        []byte(call.Path + " " + call.ContentType + " " + string(call.Body)),
	}, nil
}

// pipeListener accepts the server ends of pipes.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (listener *pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-listener.accepted:
		return connection, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

func (listener *pipeListener) Close() error {
	listener.once.Do(func() { close(listener.closed) })

	return nil
}

func (listener *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// testRequest is a caller's request; an empty method means POST.
type testRequest struct {
	method  string
	path    string
	body    string
	headers map[string]string
}

// open sends the request to an entry and returns the response without reading
// its body.
func (cluster *cluster) open(entry string, testRequest testRequest) *http.Response {
	cluster.t.Helper()

	if testRequest.method == "" {
		testRequest.method = http.MethodPost
	}

	request, err := http.NewRequestWithContext(cluster.t.Context(), testRequest.method, "http://entry"+testRequest.path, strings.NewReader(testRequest.body))
	require.NoError(cluster.t, err)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(WorkspaceHeader, "hire")

	for name, value := range testRequest.headers {
		request.Header.Set(name, value)
	}

	response, err := cluster.clients[entry].Do(request)
	require.NoError(cluster.t, err)

	return response
}

// testResponse is a response whose body was read to its end.
type testResponse struct {
	status int
	header http.Header
	body   string
	// truncated is set when the connection broke before the end of the body.
	truncated bool
}

// send sends the request to an entry and reads the whole response.
func (cluster *cluster) send(entry string, testRequest testRequest) testResponse {
	cluster.t.Helper()

	response := cluster.open(entry, testRequest)
	defer response.Body.Close()

	body, err := io.ReadAll(response.Body)

	return testResponse{status: response.StatusCode, header: response.Header, body: string(body), truncated: err != nil}
}

// problem decodes the problem document of a response.
func (response testResponse) problem(t *testing.T) classifier.Problem {
	t.Helper()
	require.Equal(t, classifier.ProblemContentType, response.header.Get("Content-Type"), response.body)

	problem := classifier.Problem{}
	require.NoError(t, json.Unmarshal([]byte(response.body), &problem))
	require.Equal(t, response.status, problem.Status)

	return problem
}
