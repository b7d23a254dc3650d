package proxy

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"

	"wrenspread/internal/simwire"
)

// CheckConfig validates the configuration file at path and reports all findings at once, each with its key.
// Problems keep the proxy from starting, or a part of it from working. Notes are about values that the proxy
// ignores, or that do not keep it from starting.
func CheckConfig(path string) (problems, notes []string) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return []string{err.Error()}, nil
	}
	var file any
	if err := json.Unmarshal(raw, &file); err != nil {
		return []string{jsonErrorPosition(raw, err)}, nil
	}
	var form configForm
	_ = json.Unmarshal(raw, &form) // the type checker reports each value of a wrong type
	checker := typeChecker{}
	checker.check("", file, form)
	if settings := lookupKey(file, "settings"); settings != nil {
		checker.check("settings", settings, simwire.SettingsForm{})
	}
	problems, notes = checker.problems, checker.unknown
	config, errs := form.config()
	for _, err := range errs {
		if !errors.As(err, new(*json.UnmarshalTypeError)) { // reported by the type checker
			problems = append(problems, err.Error())
		}
	}
	for _, address := range form.addresses() {
		if _, port, err := net.SplitHostPort(address.value); err == nil {
			if _, err := net.LookupPort("tcp", port); err != nil {
				problems = append(problems, fmt.Sprintf("%s: %q has no valid port", address.key, address.value))
			}
		}
	}
	config.rawFile = file
	if err := checkSettings(config); err != nil {
		notes = append(notes, err.Error()+": the proxy starts with it, but would reject the file at a SIGHUP")
	}
	for i, peer := range form.Peers {
		if _, err := netip.ParseAddrPort(peer); err != nil {
			notes = append(notes, fmt.Sprintf("peers.%d: %q is not a valid address and port", i, peer))
		}
	}
	if config.Membership.Name != "" && !config.Settings.AllowGossip {
		notes = append(notes, "fleet: "+membershipOffMessage)
	}
	for _, err := range form.InitialList.Skipped {
		notes = append(notes, "known.endpoints: skipped: "+err.Error())
	}
	return problems, notes
}

// jsonErrorPosition returns the message of a JSON error, with the line and the column of a syntax error.
func jsonErrorPosition(raw []byte, err error) string {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return err.Error()
	}
	line, column := 1, 1
	for _, b := range raw[:min(len(raw), max(0, int(syntax.Offset)-1))] {
		if column++; b == '\n' {
			line, column = line+1, 1
		}
	}
	return fmt.Sprintf("line %d, column %d: %v", line, column, err)
}
