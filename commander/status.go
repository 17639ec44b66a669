package commander

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"limpetrail/app"
	"limpetrail/observer"
)

// printStatus prints the status of an entry or of a gateway. Only a gateway's status lists
// backend servers.
func printStatus(out io.Writer, text []byte) error {
	probe := struct{ Servers json.RawMessage }{}
	if err := json.Unmarshal(text, &probe); err != nil {
		return errors.Annotate(err, "reading the status")
	}

	if probe.Servers != nil {
		return printGatewayStatus(out, text)
	}

	return printEntryStatus(out, text)
}

func printEntryStatus(out io.Writer, text []byte) error {
	status := observer.Status{}
	if err := json.Unmarshal(text, &status); err != nil {
		return errors.Annotate(err, "reading the status of an entry")
	}

	fmt.Fprintf(out, "%s in %s, document revision %d\n", status.Instance, status.DataCentre, status.Revision)

	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "REPLICA\tSERVICE\tDATA CENTRE\tONLINE\tQUEUED\tBATCH\tLIMIT\tLEAVING")

	for _, replica := range status.Replicas {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%t\n", replica.Name, replica.Service, replica.DataCentre,
			replica.Load.RunningOnline, replica.Load.QueuedOnline, replica.Load.RunningBatch, replica.Load.Limit,
			replica.Leaving || replica.Load.Draining)
	}

	return errors.Trace(table.Flush())
}

func printGatewayStatus(out io.Writer, text []byte) error {
	status := app.GatewayStatus{}
	if err := json.Unmarshal(text, &status); err != nil {
		return errors.Annotate(err, "reading the status of a gateway")
	}

	fmt.Fprintf(out, "%s in %s, configuration version %d, registered %t, leaving %t\n",
		status.Instance, status.DataCentre, status.Version, status.Registered, status.Leaving)

	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "BACKEND SERVER\tSERVICE\tDATA CENTRE\tPLACES\tONLINE\tBATCH\tOTHERS' ONLINE\tOTHERS' BATCH\tFIRST BYTES\tSTATE")

	for _, server := range status.Servers {
		state := "ready"

		switch {
		case server.Leaving:
			state = "leaving"
		case server.Suspect:
			state = "suspect"
		}

		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", server.ID, server.Service, server.DataCentre, server.Places,
			server.Own.Online, server.Own.Batch, server.Others.Online, server.Others.Batch, server.FirstBytes.Round(time.Millisecond), state)
	}

	fmt.Fprintln(table, "\nJOB\tDUE\tITEMS\tLISTED\tRUNNING\tWAITING\tUNLISTED")

	for _, job := range status.Jobs {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\n", job.ID, job.Due.UTC().Format(time.RFC3339),
			job.Total, job.Listed, job.Running, job.Waiting, job.Unlisted)
	}

	fmt.Fprintln(table, "\nSUSPECTED PROMPT PART\tSERVICE\tSERVERS ENDED\tFAILED TRIALS\tSTATE")

	for _, suspect := range status.Suspects {
		state := "watched"
		if suspect.Quarantined {
			state = "quarantined, next trial in " + suspect.Release.Round(time.Second).String()
		}

		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%s\n", suspect.Part, suspect.Service, suspect.Strikes, suspect.FailedTrials, state)
	}

	return errors.Trace(table.Flush())
}
