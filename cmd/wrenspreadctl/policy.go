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

const maxPolicyBytes = 1 << 20 // size of a policy file that is read; the compiler's own bound is lower

// policyCommand returns the command whose subcommands check, apply and show the policy.
func policyCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "policy",
		Short: "the fleet's limits: what a policy file says, and what is wrong with it",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	var f registryFlags
	c.AddCommand(checkPolicyCommand(), f.applyPolicyCommand(), f.showPolicyCommand())
	return c
}

// checkPolicyCommand returns the command that compiles a policy file without applying it.
func checkPolicyCommand() *cobra.Command {
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

// compilePolicy compiles the policy file at path. It checks the names in the policy against the names in the
// file settings (see knownNames), and prints the compiler's errors to errorOutput.
func compilePolicy(errorOutput io.Writer, path, settings string) (*ratelimit.Table, error) {
	known, err := knownNames(settings)
	if err != nil {
		return nil, err
	}
	text, err := readBounded(path, maxPolicyBytes)
	if err != nil {
		return nil, err
	}
	t, err := policy.Compile(path, text, known)
	var compileErrors *policy.Errors
	if errors.As(err, &compileErrors) {
		if err := compileErrors.Print(errorOutput); err != nil {
			return nil, err
		}
		return nil, fmt.Errorf("%s: errors: %d", path, compileErrors.Count())
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return t, nil
}

// readBounded reads a file of at most maxBytes.
func readBounded(path string, maxBytes int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer besteffort.Close(f)
	data, err := io.ReadAll(io.LimitReader(f, maxBytes+1))
	if err == nil && int64(len(data)) > maxBytes {
		err = fmt.Errorf("%s: more than %d bytes", path, maxBytes)
	}
	return data, err
}

// knownNames reads the names that a policy may use from a proxy's configuration or a file of names. With an
// empty path it returns no names, and the compiler then checks none.
func knownNames(path string) (policy.KnownNames, error) {
	if path == "" {
		return policy.KnownNames{}, nil
	}
	data, err := readBounded(path, 16<<20)
	if err != nil {
		return policy.KnownNames{}, err
	}
	var names struct {
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
	if err := json.Unmarshal(data, &names); err != nil {
		return policy.KnownNames{}, fmt.Errorf("%s: %w", path, err)
	}
	if names.Settings != nil {
		s, err := simwire.DecodeSettings(names.Settings)
		if err != nil {
			return policy.KnownNames{}, fmt.Errorf("%s: settings: %w", path, err)
		}
		return policy.KnownNamesOf(s), nil
	}
	k := policy.KnownNames{Sites: names.Sites, Tenants: names.Books, Cells: names.Pods}
	for _, c := range names.Classes {
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

// printTable prints a policy table as JSON if asJSON is set. Otherwise it prints the table's summary, after a
// line for each limit if limits is set.
func printTable(w io.Writer, table *ratelimit.Table, limits, asJSON bool) error {
	data := table.JSON()
	if asJSON {
		_, err := fmt.Fprintf(w, "%s\n", data)
		return err
	}
	if limits {
		output := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
		besteffort.Output(fmt.Fprintln(output, "LIMIT\tUNIT\tRATE\tBURST\tFLOOR\tWEIGHT\tRESERVE\tTOLD\tTIMES"))
		for _, limit := range table.Limits {
			besteffort.Output(
				fmt.Fprintf(
					output,
					"%s\t%s\t%.6g\t%.6g\t%.6g\t%.6g\t%.3g\t%d in %v\t%d\n",
					limit.Name,
					limit.Unit,
					limit.Rate,
					limit.Burst,
					limit.Floor,
					limit.Weight,
					limit.PriorityReserve,
					limit.Status,
					limit.RetryAfter,
					len(limit.Schedule),
				),
			)
		}
		if err := output.Flush(); err != nil {
			return err
		}
	}
	maxMatched, _ := table.MaxMatched()
	for i, l := range table.Levels {
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
		len(table.Scopes),
		len(table.Limits),
		table.TokenSlots()-len(table.Limits),
		maxMatched,
		len(data),
		table.Digest,
	)
	return err
}
