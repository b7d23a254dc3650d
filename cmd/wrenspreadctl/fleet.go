package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/membership/gossip"
)

const (
	viewTimeout      = 2 * time.Second // for a proxy to answer; its own limit is 0.8 s
	maxViewBytes     = 8 << 20         // of a response; a view of 4,096 members has two million bytes
	maxParallelReads = 32              // proxies that are read at a time
)

// proxyView is one proxy's view of the fleet, or the error with which reading it failed.
type proxyView struct {
	address string
	report  gossip.Report
	err     error
}

// fleetCommand returns the command that prints the membership as the proxies see it, and fails if their views
// differ.
func fleetCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "fleet ADDRESS...",
		Short: "membership as proxies see it: who is alive, who differs, why one is dead and who says so",
		Long: `It asks each node at its control address for its view. Status 0 says that all of them see
the same ("settled"), 1 that they don't or that one did not answer, so that a script can
wait for it.`,
		Example: "  wrenspreadctl fleet 10.1.0.1:10250 10.1.0.2:10250",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			views := readViews(c.Context(), args)
			c.SilenceUsage = true
			return showViews(c.OutOrStdout(), views)
		},
	}
}

// readViews reads the views of all proxies, and returns them in the order of the addresses.
func readViews(ctx context.Context, addresses []string) []proxyView {
	views := make([]proxyView, len(addresses))
	var reads errgroup.Group
	reads.SetLimit(maxParallelReads)
	for i, address := range addresses {
		reads.Go(func() error {
			report, err := readView(ctx, address)
			views[i] = proxyView{address: address, report: report, err: err}
			return nil
		})
	}
	_ = reads.Wait() // always nil: each error is in the proxyView
	return views
}

// readView reads the view of the proxy with this control address.
func readView(ctx context.Context, address string) (report gossip.Report, err error) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/fleet", nil)
	if err != nil {
		return report, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return report, err
	}
	defer besteffort.Close(resp.Body)
	body := io.LimitReader(resp.Body, maxViewBytes)
	switch resp.StatusCode {
	case http.StatusOK:
		err = json.NewDecoder(body).Decode(&report)
		return report, err
	case http.StatusNotFound:
		return report, errors.New(
			"the proxy has no view: its configuration has no key \"fleet\", " +
				"or its settings allow no messages between proxies",
		)
	}
	text, _ := io.ReadAll(io.LimitReader(body, 200))
	return report, fmt.Errorf("%s: %q", resp.Status, text)
}

// showViews prints all views in one table, and all members in another one. It returns an error if a view
// could not be read or if the views differ.
func showViews(w io.Writer, views []proxyView) error {
	var reports []gossip.Report
	var failed error
	for _, proxy := range views {
		if proxy.err != nil {
			failed = errors.Join(failed, fmt.Errorf("%s: %w", proxy.address, proxy.err))
			continue
		}
		reports = append(reports, proxy.report)
	}
	if len(reports) == 0 {
		return failed
	}
	differ := compareDigests(w, reports)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	printViews(t, reports)
	printMembers(t, reports)
	return errors.Join(failed, differ, t.Flush())
}

// printViews prints a line for each view, with its digest, the number of its members by health, and its
// traffic.
func printViews(t io.Writer, views []gossip.Report) {
	besteffort.Output(
		fmt.Fprintln(t, "\nNODE\tDIGEST\tCHANGES\tALIVE\tSUSPECT\tDEAD\tLEFT\tSENT\tRECEIVED\tSTRANGERS\tLATE"),
	)
	for _, view := range views {
		count := map[string]int{}
		for _, m := range view.Members {
			count[m.Health]++
		}
		besteffort.Output(
			fmt.Fprintf(
				t,
				"%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d ms\n",
				view.Name,
				view.Digest,
				view.Version,
				count["alive"],
				count["suspect"],
				count["dead"],
				count["left"],
				view.Sent.Datagrams,
				view.Received.Datagrams,
				view.Received.Strangers,
				view.LateMS,
			),
		)
	}
}

// printMembers prints a line for each different view of a member, with the proxies that have this view.
func printMembers(t io.Writer, views []gossip.Report) {
	besteffort.Output(
		fmt.Fprintln(
			t,
			"\nMEMBER\tHEALTH\tSTATE\tSINCE\tLIFE\tINC\tZONE\tVERSION\tCATALOGUE\tPOLICY\tLOAD\tSEEN SO BY\tWHY",
		),
	)
	for _, view := range groupMemberViews(views) {
		member := view.member
		besteffort.Output(
			fmt.Fprintf(
				t,
				"%s\t%s\t%s\t%v\t%d\t%d\t%s\t%s\t%d\t%d\t%.1f%%\t%s\t%s\n",
				member.Name,
				member.Health,
				member.State,
				(time.Duration(member.AgeMS) * time.Millisecond).Round(100*time.Millisecond),
				member.Generation,
				member.Incarnation,
				orDash(member.Zone),
				orDash(member.Version),
				member.Catalogue,
				member.Policy,
				float64(member.Load)/10,
				view.observersText(len(views)),
				reasonText(member),
			),
		)
	}
}
