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
	viewTime   = 2 * time.Second // for a proxy to answer; it gives itself 0.8 s
	viewMost   = 8 << 20         // bytes of an answer; 4,096 members take two million
	askAtATime = 32              // proxies
)

// proxyView is what one proxy says, or why it says nothing.
type proxyView struct {
	address string
	view    gossip.Report
	err     error
}

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
			all := askViews(c.Context(), args)
			c.SilenceUsage = true
			return showViews(c.OutOrStdout(), all)
		},
	}
}

// askViews asks all proxies, and gives their answers in the order of the addresses.
func askViews(ctx context.Context, addresses []string) []proxyView {
	all := make([]proxyView, len(addresses))
	var g errgroup.Group
	g.SetLimit(askAtATime)
	for i, address := range addresses {
		g.Go(func() error {
			v, err := askView(ctx, address)
			all[i] = proxyView{address: address, view: v, err: err}
			return nil
		})
	}
	_ = g.Wait() // what a proxy answers, or does not, is in its place: no error comes of it
	return all
}

func askView(ctx context.Context, address string) (r gossip.Report, err error) {
	ctx, cancel := context.WithTimeout(ctx, viewTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/fleet", nil)
	if err != nil {
		return r, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return r, err
	}
	defer besteffort.Close(resp.Body)
	body := io.LimitReader(resp.Body, viewMost)
	switch resp.StatusCode {
	case http.StatusOK:
		err = json.NewDecoder(body).Decode(&r)
		return r, err
	case http.StatusNotFound:
		return r, errors.New(
			"it keeps no view: its configuration has no key \"fleet\", " +
				"or its settings allow no messages between nodes",
		)
	}
	text, _ := io.ReadAll(io.LimitReader(body, 200))
	return r, fmt.Errorf("%s: %q", resp.Status, text)
}

// showViews prints the views as one, and what differs between them.
func showViews(w io.Writer, all []proxyView) error {
	var views []gossip.Report
	var failed error
	for _, n := range all {
		if n.err != nil {
			failed = errors.Join(failed, fmt.Errorf("%s: %w", n.address, n.err))
			continue
		}
		views = append(views, n.view)
	}
	if len(views) == 0 {
		return failed
	}
	differ := settled(w, views)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	printViews(t, views)
	printMembers(t, views)
	return errors.Join(failed, differ, t.Flush())
}

// printViews prints a line for each view: its digest, its members by health, its traffic.
func printViews(t io.Writer, views []gossip.Report) {
	besteffort.Output(
		fmt.Fprintln(t, "\nNODE\tDIGEST\tCHANGES\tALIVE\tSUSPECT\tDEAD\tLEFT\tSENT\tRECEIVED\tSTRANGERS\tLATE"),
	)
	for _, v := range views {
		n := map[string]int{}
		for _, m := range v.Members {
			n[m.Health]++
		}
		besteffort.Output(
			fmt.Fprintf(
				t,
				"%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d ms\n",
				v.Name,
				v.Digest,
				v.Version,
				n["alive"],
				n["suspect"],
				n["dead"],
				n["left"],
				v.Sent.Datagrams,
				v.Received.Datagrams,
				v.Received.Strangers,
				v.LateMS,
			),
		)
	}
}

// printMembers prints a line for each opinion on a member, with those that have it.
func printMembers(t io.Writer, views []gossip.Report) {
	besteffort.Output(
		fmt.Fprintln(
			t,
			"\nMEMBER\tHEALTH\tSTATE\tSINCE\tLIFE\tINC\tZONE\tVERSION\tCATALOGUE\tPOLICY\tLOAD\tSEEN SO BY\tWHY",
		),
	)
	for _, o := range opinions(views) {
		m := o.of
		besteffort.Output(
			fmt.Fprintf(
				t,
				"%s\t%s\t%s\t%v\t%d\t%d\t%s\t%s\t%d\t%d\t%.1f%%\t%s\t%s\n",
				m.Name,
				m.Health,
				m.State,
				(time.Duration(m.AgeMS) * time.Millisecond).Round(100*time.Millisecond),
				m.Generation,
				m.Incarnation,
				dash(m.Zone),
				dash(m.Version),
				m.Catalogue,
				m.Policy,
				float64(m.Load)/10,
				o.who(len(views)),
				why(m),
			),
		)
	}
}
