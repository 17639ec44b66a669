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
	entryCount       = 2
	engineCount      = 3
	orderServerCount = 2
)

// Addresses holds the addresses on which the parts of the demo listen.
type Addresses struct {
	// Entries are the addresses for callers and operators.
	Entries []string
	// Standins are the addresses of the stand-ins, by name. Each accepts fault
	// switches at /faults.
	Standins map[string]string
}

// Fleet is a running demo.
type Fleet struct {
	Addresses Addresses
	// Store is the stand-in of the key-value service.
	Store *emulator.Store
	// Services are the stand-ins of plain services.
	Services []*emulator.Service
	// DataFolder is the folder in which the entries store bulk data.
	DataFolder string

	instances []locator.Instance
	group     *errgroup.Group
	context   context.Context //nolint:containedctx // It stops every part of the fleet.
}

// NewFleet returns a fleet that stops when the context ends.
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
	if err := fleet.publishDocument(ExampleDocument()); err != nil {
		return errors.Trace(err)
	}

	instanceList := emulator.NewInstanceList()

	for name, handler := range map[string]http.Handler{"kv": emulator.NewStoreHandler(fleet.Store), "instances": instanceList} {
		if _, err := fleet.startStandin(name, handler); err != nil {
			return errors.Trace(err)
		}
	}

	if err := fleet.startSidecars(); err != nil {
		return errors.Trace(err)
	}

	if err := fleet.startEntries(); err != nil {
		return errors.Trace(err)
	}

	instanceList.Set(fleet.instances...)

	return nil
}

// Wait waits until every part has stopped, and returns the first error.
func (fleet *Fleet) Wait() error {
	return errors.Trace(fleet.group.Wait())
}

func (fleet *Fleet) startSidecars() error {
	for number := range engineCount {
		engine := emulator.NewEngine()
		go engine.Run(fleet.context)

		name := "engine-" + strconv.Itoa(number+1)
		if err := fleet.startSidecar(name, "Engine", "briefing", emulator.NewEngineHandler(engine)); err != nil {
			return errors.Trace(err)
		}
	}

	for number := range orderServerCount {
		service := emulator.NewService()
		fleet.Services = append(fleet.Services, service)

		name := "orders-" + strconv.Itoa(number+1)
		if err := fleet.startSidecar(name, "Service", "order", service); err != nil {
			return errors.Trace(err)
		}
	}

	return nil
}

// startSidecar starts the stand-in of a backend server and its sidecar.
func (fleet *Fleet) startSidecar(name, kind, service string, backend http.Handler) error {
	address, err := fleet.startStandin(name, backend)
	if err != nil {
		return errors.Trace(err)
	}

	addresses, listeners, err := openListeners(fleet.context, 2)
	if err != nil {
		return errors.Trace(err)
	}

	settings := loader.DefaultSidecar()
	settings.Instance = loader.Instance{Name: "sidecar-" + name, DataCentre: dataCentreName(len(fleet.instances))}
	settings.Listen = loader.SidecarListen{Peers: addresses[0], Operations: addresses[1]}
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

	sidecar.Listen = useListeners(listeners)

	fleet.group.Go(func() error { return sidecar.Run(fleet.context) })
	fleet.instances = append(fleet.instances, locator.Instance{
		Name:       settings.Instance.Name,
		Address:    addresses[0],
		DataCentre: settings.Instance.DataCentre,
		Service:    service,
	})

	return nil
}

func (fleet *Fleet) startEntries() error {
	for number := range entryCount {
		addresses, listeners, err := openListeners(fleet.context, 2)
		if err != nil {
			return errors.Trace(err)
		}

		settings := loader.DefaultEntry()
		settings.Instance = loader.Instance{Name: "entry-" + strconv.Itoa(number+1), DataCentre: dataCentreName(number)}
		settings.Listen = loader.EntryListen{Callers: addresses[0], Peers: addresses[1]}
		settings.KeyValue.Address = fleet.Addresses.Standins["kv"]
		settings.Instances.Address = fleet.Addresses.Standins["instances"]
		settings.Data.Folder = filepath.Join(fleet.DataFolder, settings.Instance.Name)
		settings.Log.Level = "error"

		entry, err := app.NewEntry(settings)
		if err != nil {
			return errors.Trace(err)
		}

		entry.Listen = useListeners(listeners)

		fleet.group.Go(func() error { return entry.Run(fleet.context) })
		fleet.Addresses.Entries = append(fleet.Addresses.Entries, addresses[0])
		fleet.instances = append(fleet.instances, locator.Instance{
			Name:       settings.Instance.Name,
			Address:    addresses[1],
			DataCentre: settings.Instance.DataCentre,
			Entry:      true,
		})
	}

	return nil
}

// startStandin serves a stand-in on a loopback port and returns its address.
func (fleet *Fleet) startStandin(name string, handler http.Handler) (string, error) {
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

func (fleet *Fleet) publishDocument(document editor.Document) error {
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

// openListeners opens loopback listeners before the part that uses them is
// created, so that no other process can take their ports in between.
func openListeners(ctx context.Context, count int) ([]string, map[string]net.Listener, error) {
	addresses, listeners := []string{}, map[string]net.Listener{}

	for range count {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, errors.Trace(err)
		}

		address := listener.Addr().String()
		addresses = append(addresses, address)
		listeners[address] = listener
	}

	return addresses, listeners, nil
}

// useListeners returns an app.Listen function that returns the listeners that are
// already open.
func useListeners(listeners map[string]net.Listener) app.Listen {
	return func(_ context.Context, address string, _ app.SocketControl) (net.Listener, error) {
		listener, found := listeners[address]
		if !found {
			return nil, errors.NotFoundf("listener at %s", address)
		}

		return listener, nil
	}
}

func dataCentreName(number int) string {
	const dataCentres = 3

	return "dc-" + strconv.Itoa(number%dataCentres+1)
}
