// Command standin runs a stand-in of one of the platform's services, for tests
// and demos.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"limpetrail/emulator"
)

const headerTimeout = 10 * time.Second

func main() {
	application := kingpin.New("standin", "Runs a stand-in of the platform. POST its fault switches to /faults.")
	listen := application.Flag("listen", "Host and port.").Default("127.0.0.1:0").String()
	application.Command("kv", "Key-value service.")
	application.Command("engine", "Model engine with continuous batching.")
	application.Command("service", "Plain service.")
	application.Command("instances", "List of instances.")
	application.Command("weights", "Rate-limited weight store.")

	kind := kingpin.MustParse(application.Parse(os.Args[1:]))

	if err := run(kind, *listen); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(kind, address string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()

	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Trace(err)
	}

	server := &http.Server{Handler: newHandler(ctx, kind), ReadHeaderTimeout: headerTimeout}

	go func() {
		<-ctx.Done()
		server.Close()
	}()

	fmt.Println(listener.Addr())

	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Trace(err)
	}

	return nil
}

func newHandler(ctx context.Context, kind string) http.Handler {
	switch kind {
	case "kv":
		return emulator.NewStoreHandler(emulator.NewStore())
	case "engine":
		engine := emulator.NewEngine()
		go engine.Run(ctx)

		return emulator.NewEngineHandler(engine)
	case "service":
		return emulator.NewService()
	case "weights":
		return emulator.NewWeightStore()
	default:
		return emulator.NewInstanceList()
	}
}
