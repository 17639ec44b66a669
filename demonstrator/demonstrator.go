package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"
)

const addressesFileMode = 0o600

// Demonstrator runs the demo of the command line.
type Demonstrator struct {
	Out io.Writer
	// AddressesFile is the file to which the addresses are written as JSON; empty
	// for none.
	AddressesFile string
	// Once makes Run check one request of each kind, print the results and
	// return.
	Once bool
}

// NewDemonstrator returns a demonstrator that writes to out.
func NewDemonstrator(out io.Writer) *Demonstrator {
	return &Demonstrator{Out: out}
}

// Run runs the demo until the context ends or, if Once is set, until its checks
// are done.
func (demonstrator *Demonstrator) Run(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "limpetrail-demo-")
	if err != nil {
		return errors.Trace(err)
	}
	// Files that can't be removed from the temporary folder do no harm.
	defer func() { _ = os.RemoveAll(folder) }()

	ctx, stop := context.WithCancel(ctx)
	defer stop()

	fleet := NewFleet(ctx, folder)
	if err := fleet.Start(); err != nil {
		return errors.Annotate(err, "starting the demo")
	}

	if err := demonstrator.writeAddresses(fleet.Addresses); err != nil {
		return errors.Trace(err)
	}

	if demonstrator.Once {
		result := NewSelfCheck(demonstrator.Out, fleet).Run(ctx)
		stop()

		if err := fleet.Wait(); err != nil {
			return errors.Trace(err)
		}

		return errors.Trace(result)
	}

	demonstrator.printInstructions(fleet.Addresses)

	return errors.Trace(fleet.Wait())
}

func (demonstrator *Demonstrator) writeAddresses(addresses Addresses) error {
	if demonstrator.AddressesFile == "" {
		return nil
	}

	text, err := json.MarshalIndent(addresses, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}

	return errors.Annotate(os.WriteFile(demonstrator.AddressesFile, text, addressesFileMode), "writing the addresses")
}

func (demonstrator *Demonstrator) printInstructions(addresses Addresses) {
	fmt.Fprintf(demonstrator.Out, `Entries for callers and operators: %v
Stand-ins, each with fault switches at /faults: %v

Three things to try:

  curl -sN http://%[3]s/v1/chat/completions -H 'X-Limpetrail-Workspace: briefings' \
    -H 'Content-Type: application/json' \
    -d '{"model":"briefing","stream":true,"messages":[{"role":"user","content":"Pollen in Moshi?"}]}'

  curl -s http://%[3]s/v1/services/order/book -H 'X-Limpetrail-Workspace: yard' \
    -H 'Idempotency-Key: crane-monday' -H 'Content-Type: application/json' -d '{"Machine":"crane"}'
    (send it again, also to the other entry: it is not run twice)

  limpetrail status --entry %[3]s
    (or open http://%[3]s/console/ in a browser)

Ctrl-C ends the demo.
`, addresses.Entries, addresses.Standins, addresses.Entries[0])
}
