package main

import (
	_ "embed"
	"errors"
	"flag"
	"fmt"
	"io"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/proxy"
)

// example is the configuration file that --help prints.
//
//go:embed example.json
var example string

// usage describes the command line and the keys of the configuration file.
const usage = `wrenspread-proxy is a load-balancing proxy.

  GW_CONFIG=FILE wrenspread-proxy   serve with the configuration FILE until SIGTERM; SIGHUP reads it again
  wrenspread-proxy --check FILE     print all faults of FILE, and start nothing; status 1 if there are any
  wrenspread-proxy --help           this

Keys of the file, which is JSON; those of no meaning are ignored:

  listen          host:port for clients                                            needed
  discovery       host:port of discovery or a wrenspread-registry                  needed, or list
  list            [host:port, ...] of the registry's replicas, in its place
  list_file       where that list is cached for the next start
  list_part       true: only the subset that the proxy works with is followed
  seed            a number in base 16, the random seed                             needed
  settings        classes, attempts, times, limits of the rules                    needed, may be {}
    .classes      name, effect (retryable, dedup, fragile), aim_ns, give_up_ns
    .caps         max_attempts, connect_timeout_ns, peers, ...
  name            of the proxy, in its log
  control         host:port for operators: health, figures, maintenance ($GW_CONTROL wins)
  fence_folder    where fencing tokens of maintenance calls are stored
  backend_stats   true: counts for each backend
  limits          cores, memory_mb, sockets
  peer_listen     host:port for other proxies' datagrams
  peers           [host:port, ...] of all proxies, by their numbers
  fleet           membership of the proxies, off without it: docs/fleet-control.md
    .name         of the fleet                                                     needed
    .join         [host:port, ...] to join by; else the peers
    .address      host:port at which others reach peer_listen, if not that itself
    .period_ms    from one probe to the next, 20 to 10000; else 200
  known           the endpoint list as it was last, to begin with

GW_ACCEPT_FD names a descriptor that is the clients' socket already, for upgrades without a gap.

An example that works as it is, with a server at port 9000 (python3 -m http.server 9000 will do):

`

// nextSteps is the text of --help after the example.
const nextSteps = `
Save it as node.json, then

  wrenspread-proxy --check node.json
  GW_CONFIG=node.json wrenspread-proxy &
  curl -sf http://127.0.0.1:10250/healthcheck
  curl -H 'X-Request-Id: 1' -H 'X-Class: read' -H 'X-Deadline: 2' http://127.0.0.1:8080/

What operators call, and what they see: docs/on-call.md.
`

// errUsage refers to --help. It is added to the error that names the invalid argument.
var errUsage = errors.New("see wrenspread-proxy --help")

// handleArguments handles --help, --check and invalid arguments, and a missing configuration. If finished is
// true, the program must end with err instead of serving. config is the value of GW_CONFIG.
func handleArguments(args []string, config string, output, errorOutput io.Writer) (finished bool, err error) {
	flags := flag.NewFlagSet("wrenspread-proxy", flag.ContinueOnError)
	flags.SetOutput(io.Discard) // the returned error has the message
	check := flags.String("check", "", "")
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		besteffort.Output(fmt.Fprint(output, usage, example, nextSteps))
		return true, nil
	case err != nil:
		return true, fmt.Errorf("%w; %w", err, errUsage)
	case flags.NArg() > 0:
		return true, fmt.Errorf("unexpected argument %q; %w", flags.Arg(0), errUsage)
	case flags.NFlag() > 0:
		return true, checkFile(*check, output)
	case config == "":
		besteffort.Output(fmt.Fprint(errorOutput, usage, example, nextSteps))
		return true, errors.New("GW_CONFIG names no configuration file")
	}
	return false, nil
}

// checkFile checks a configuration file, and writes one line for each problem and each note to output.
func checkFile(path string, output io.Writer) error {
	problems, notes := proxy.CheckConfig(path)
	for _, p := range problems {
		besteffort.Output(fmt.Fprintln(output, "wrong:", p))
	}
	for _, n := range notes {
		besteffort.Output(fmt.Fprintln(output, "note:", n))
	}
	if len(problems) > 0 {
		return fmt.Errorf("%s: problems found: %d", path, len(problems))
	}
	besteffort.Output(fmt.Fprintln(output, path+": good"))
	return nil
}
