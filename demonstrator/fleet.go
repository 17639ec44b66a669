package demonstrator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"path/filepath"
	"strconv"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"limpetrail/app"
	"limpetrail/editor"
	"limpetrail/emulator"
	"limpetrail/keeper"
	"limpetrail/loader"
	"limpetrail/locator"
	"limpetrail/publisher"
)

const (
	entries          = 2
	enginesForModel  = 3
	serversForOrders = 2
)

// Addresses is where the parts of the demo listen.
type Addresses struct {
	// Entries are for callers and operators.
	Entries []string
	// Standins take fault switches at /faults, by name.
	Standins map[string]string
}

// Fleet is a running demo.
type Fleet struct {
	Addresses Addresses
	// Store is the key-value stand-in.
	Store *emulator.Store
	// Services are the plain service stand-ins.
	Services []*emulator.Service
	// DataFolder is where entries keep bulk data.
	DataFolder string

	instances []locator.Instance
	group     *errgroup.Group
	context   context.Context //nolint:containedctx // Ends every part of the fleet.
}

// NewFleet returns a fleet that ends with the context.
func NewFleet(ctx context.Context, dataFolder string) *Fleet {
	group, ctx := errgroup.WithContext(ctx)

	return &Fleet{
		Addresses:  Addresses{Standins: map[string]string{}},
		Store:      emulator.NewStore(),
		DataFolder: dataFolder,
		group:      group,
		context:    ctx,
	}
}

// Start starts every part.
func (fleet *Fleet) Start() error {
	if err := fleet.publish(ExampleDocument()); err != nil {
		return errors.Trace(err)
	}

	list := emulator.NewInstanceList()

	for name, handler := range map[string]http.Handler{"kv": emulator.NewStoreHandler(fleet.Store), "instances": list} {
		if _, err := fleet.standin(name, handler); err != nil {
			return errors.Trace(err)
		}
	}

	if err := fleet.startSidecars(); err != nil {
		return errors.Trace(err)
	}

	if err := fleet.startEntries(); err != nil {
		return errors.Trace(err)
	}

	list.Set(fleet.instances...)

	return nil
}

// Wait returns when every part has ended.
func (fleet *Fleet) Wait() error {
	return errors.Trace(fleet.group.Wait())
}

func (fleet *Fleet) startSidecars() error {
	for number := range enginesForModel {
		engine := emulator.NewEngine()
		go engine.Run(fleet.context)

		name := "engine-" + strconv.Itoa(number+1)
		if err := fleet.sidecar(name, "Engine", "briefing", emulator.NewEngineHandler(engine)); err != nil {
			return errors.Trace(err)
		}
	}

	for number := range serversForOrders {
		service := emulator.NewService()
		fleet.Services = append(fleet.Services, service)

		name := "orders-" + strconv.Itoa(number+1)
		if err := fleet.sidecar(name, "Service", "order", service); err != nil {
			return errors.Trace(err)
		}
	}

	return nil
}

// sidecar starts a stand-in of a backend server and the sidecar beside it.
func (fleet *Fleet) sidecar(name, kind, service string, backend http.Handler) error {
	address, err := fleet.standin(name, backend)
	if err != nil {
		return errors.Trace(err)
	}

	free, opened, err := open(fleet.context, 2)
	if err != nil {
		return errors.Trace(err)
	}

	settings := loader.DefaultSidecar()
	settings.Instance = loader.Instance{Name: "sidecar-" + name, DataCentre: dataCentre(len(fleet.instances))}
	settings.Listen = loader.SidecarListen{Peers: free[0], Operations: free[1]}
	settings.KeyValue.Address = fleet.Addresses.Standins["kv"]
	settings.Instances.Address = fleet.Addresses.Standins["instances"]
	settings.BackendServer.Kind = kind
	settings.BackendServer.Address = address
	settings.BackendServer.Service = service
	settings.Log.Level = "error"

	sidecar, err := app.NewSidecar(fleet.context, settings)
	if err != nil {
		return errors.Trace(err)
	}

	sidecar.Listen = listen(opened)

	fleet.group.Go(func() error { return sidecar.Run(fleet.context) })
	fleet.instances = append(fleet.instances, locator.Instance{
		Name:       settings.Instance.Name,
		Address:    free[0],
		DataCentre: settings.Instance.DataCentre,
		Service:    service,
	})

	return nil
}

func (fleet *Fleet) startEntries() error {
	for number := range entries {
		free, opened, err := open(fleet.context, 2)
		if err != nil {
			return errors.Trace(err)
		}

		settings := loader.DefaultEntry()
		settings.Instance = loader.Instance{Name: "entry-" + strconv.Itoa(number+1), DataCentre: dataCentre(number)}
		settings.Listen = loader.EntryListen{Callers: free[0], Peers: free[1]}
		settings.KeyValue.Address = fleet.Addresses.Standins["kv"]
		settings.Instances.Address = fleet.Addresses.Standins["instances"]
		settings.Data.Folder = filepath.Join(fleet.DataFolder, settings.Instance.Name)
		settings.Log.Level = "error"

		entry, err := app.NewEntry(settings)
		if err != nil {
			return errors.Trace(err)
		}

		entry.Listen = listen(opened)

		fleet.group.Go(func() error { return entry.Run(fleet.context) })
		fleet.Addresses.Entries = append(fleet.Addresses.Entries, free[0])
		fleet.instances = append(fleet.instances, locator.Instance{
			Name:       settings.Instance.Name,
			Address:    free[1],
			DataCentre: settings.Instance.DataCentre,
			Entry:      true,
		})
	}

	return nil
}

// standin serves a stand-in on a loopback port.
func (fleet *Fleet) standin(name string, handler http.Handler) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(fleet.context, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Trace(err)
	}

	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}

	fleet.group.Go(func() error {
		<-fleet.context.Done()

		return errors.Trace(server.Close())
	})
	fleet.group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Trace(err)
		}

		return nil
	})

	address := listener.Addr().String()
	fleet.Addresses.Standins[name] = address

	return address, nil
}

func (fleet *Fleet) publish(document editor.Document) error {
	value, err := json.Marshal(document)
	if err != nil {
		return errors.Trace(err)
	}

	_, applied, err := fleet.Store.CompareAndSwap(fleet.context, publisher.DocumentKey, 0, value)
	if err == nil && applied != keeper.WriteApplied {
		return errors.AlreadyExistsf("document")
	}

	return errors.Trace(err)
}

// open opens loopback listeners ahead of the process that will use them, so
// that nobody else takes their ports in between.
func open(ctx context.Context, count int) ([]string, map[string]net.Listener, error) {
	addresses, opened := []string{}, map[string]net.Listener{}

	for range count {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, errors.Trace(err)
		}

		address := listener.Addr().String()
		addresses = append(addresses, address)
		opened[address] = listener
	}

	return addresses, opened, nil
}

// listen returns the app.Listen of one process: it hands over its listeners.
func listen(opened map[string]net.Listener) app.Listen {
	return func(_ context.Context, address string, _ app.SocketControl) (net.Listener, error) {
		listener, found := opened[address]
		if !found {
			return nil, errors.NotFoundf("listener at %s", address)
		}

		return listener, nil
	}
}

func dataCentre(number int) string {
	const dataCentres = 3

	return "dc-" + strconv.Itoa(number%dataCentres+1)
}
