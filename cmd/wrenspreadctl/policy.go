package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/policy"
	"wrenspread/internal/simwire"
	"wrenspread/ratelimit"
)

const mostPolicy = 1 << 20 // bytes that are read of a policy; the compiler's own bound is lower

func policyCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "policy",
		Short: "the fleet's limits: what a policy file says, and what is wrong with it",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	var f registryFlags
	c.AddCommand(policyCheck(), f.applyPolicy(), f.showPolicy())
	return c
}

func policyCheck() *cobra.Command {
	var settings string
	var limits, asJSON bool
	c := &cobra.Command{
		Use:   "check FILE",
		Short: "compile a policy, and print its errors or the table's summary",
		Long: `check compiles a policy and prints all of its errors, each with its place and a way out, or
the summary of its table. Names are checked against --settings: a node's configuration, or a
file of names such as
{"sites":["a"],"books":["b"],"pods":["c"],"classes":[{"name":"view","worth":1,"work_ms":40}]}.`,
		Example: "  wrenspreadctl policy check site.hcl --settings node.json\n" +
			"  wrenspreadctl policy check site.hcl --limits",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			t, err := compilePolicy(c.ErrOrStderr(), args[0], settings)
			if err != nil {
				return err
			}
			return printTable(c.OutOrStdout(), t, limits, asJSON)
		},
	}
	c.Flags().StringVar(&settings, "settings", "", "file with the names that the fleet knows")
	c.Flags().BoolVar(&limits, "limits", false, "print each limit")
	c.Flags().BoolVar(&asJSON, "json", false, "print the table as proxies read it")
	return c
}

// compilePolicy compiles a file by the names that the file settings knows, and prints what is wrong with it.
func compilePolicy(errs io.Writer, path, settings string) (*ratelimit.Table, error) {
	known, err := knownNames(settings)
	if err != nil {
		return nil, err
	}
	text, err := readMost(path, mostPolicy)
	if err != nil {
		return nil, err
	}
	t, err := policy.Compile(path, text, known)
	var wrong *policy.Errors
	if errors.As(err, &wrong) {
		if err := wrong.Print(errs); err != nil {
			return nil, err
		}
		return nil, fmt.Errorf("%s: errors: %d", path, wrong.Count())
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return t, nil
}

func readMost(path string, most int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer besteffort.Close(f)
	data, err := io.ReadAll(io.LimitReader(f, most+1))
	if err == nil && int64(len(data)) > most {
		err = fmt.Errorf("%s: more than %d bytes", path, most)
	}
	return data, err
}

// knownNames reads a proxy's configuration, or a file of names. Without a file no names are checked.
func knownNames(path string) (policy.Known, error) {
	if path == "" {
		return policy.Known{}, nil
	}
	data, err := readMost(path, 16<<20)
	if err != nil {
		return policy.Known{}, err
	}
	var in struct {
		Settings json.RawMessage `json:"settings"`
		Sites    []string        `json:"sites"`
		Books    []string        `json:"books"`
		Pods     []string        `json:"pods"`
		Classes  []struct {
			Name  string  `json:"name"`
			Worth float64 `json:"worth"`
			Work  float64 `json:"work_ms"`
		} `json:"classes"`
	}
	if err := json.Unmarshal(data, &in); err != nil {
		return policy.Known{}, fmt.Errorf("%s: %w", path, err)
	}
	if in.Settings != nil {
		s, err := simwire.DecodeSettings(in.Settings)
		if err != nil {
			return policy.Known{}, fmt.Errorf("%s: settings: %w", path, err)
		}
		return policy.KnownOf(s), nil
	}
	k := policy.Known{Sites: in.Sites, Tenants: in.Books, Cells: in.Pods}
	for _, c := range in.Classes {
		k.Classes = append(
			k.Classes,
			policy.Class{
				Name:           c.Name,
				PriorityWeight: c.Worth,
				Work:           time.Duration(c.Work * float64(time.Millisecond)),
			},
		)
	}
	return k, nil
}

func printTable(w io.Writer, t *ratelimit.Table, limits, asJSON bool) error {
	data := t.JSON()
	if asJSON {
		_, err := fmt.Fprintf(w, "%s\n", data)
		return err
	}
	if limits {
		out := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
		besteffort.Output(fmt.Fprintln(out, "LIMIT\tUNIT\tRATE\tBURST\tFLOOR\tWEIGHT\tRESERVE\tTOLD\tTIMES"))
		for _, l := range t.Limits {
			besteffort.Output(
				fmt.Fprintf(
					out,
					"%s\t%s\t%.6g\t%.6g\t%.6g\t%.6g\t%.3g\t%d in %v\t%d\n",
					l.Name,
					l.Unit,
					l.Rate,
					l.Burst,
					l.Floor,
					l.Weight,
					l.PriorityReserve,
					l.Status,
					l.RetryAfter,
					len(l.Schedule),
				),
			)
		}
		if err := out.Flush(); err != nil {
			return err
		}
	}
	touched, _ := t.MaxMatched()
	for i, l := range t.Levels {
		besteffort.Output(
			fmt.Fprintf(
				w,
				"level %d above %.3g, until below %.3g: refuses %s\n",
				i+1,
				l.EnterAbove,
				l.LeaveBelow,
				strings.Join(l.RejectClasses, ", "),
			),
		)
	}
	_, err := fmt.Fprintf(
		w,
		"%d parts, %d limits, %d slots of keys; a request touches %d limits at most; %d bytes\ndigest %s\n",
		len(t.Scopes),
		len(t.Limits),
		t.TokenSlots()-len(t.Limits),
		touched,
		len(data),
		t.Digest,
	)
	return err
}
