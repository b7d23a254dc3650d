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

// CheckConfig validates the configuration file at path, all of it at once and each with its key: problems
// keep the proxy from starting, or from a part of its work; notes tell of what it starts with and passes
// over.
func CheckConfig(path string) (problems, notes []string) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return []string{err.Error()}, nil
	}
	var file any
	if err := json.Unmarshal(raw, &file); err != nil {
		return []string{jsonErrorPosition(raw, err)}, nil
	}
	var in configForm
	_ = json.Unmarshal(raw, &in) // the type checker finds what is wrong with it, each value by itself
	k := typeChecker{}
	k.check("", file, in)
	if settings := lookupKey(file, "settings"); settings != nil {
		k.check("settings", settings, simwire.SettingsForm{})
	}
	problems, notes = k.problems, k.unknown
	c, wrong := in.config()
	for _, err := range wrong {
		if !errors.As(err, new(*json.UnmarshalTypeError)) { // those are found above
			problems = append(problems, err.Error())
		}
	}
	for _, a := range in.addresses() {
		if _, port, err := net.SplitHostPort(a.value); err == nil {
			if _, err := net.LookupPort("tcp", port); err != nil {
				problems = append(problems, fmt.Sprintf("%s: %q has no port that there is", a.key, a.value))
			}
		}
	}
	c.rawFile = file
	if err := checkSettings(c); err != nil {
		notes = append(notes, err.Error()+": it starts so, but a SIGHUP would turn the file down")
	}
	for i, peer := range in.Peers {
		if _, err := netip.ParseAddrPort(peer); err != nil {
			notes = append(notes, fmt.Sprintf("peers.%d: %q is not to be reached", i, peer))
		}
	}
	if c.Membership.Name != "" && !c.Settings.AllowGossip {
		notes = append(notes, "fleet: "+membershipOffMessage)
	}
	for _, err := range in.InitialList.Skipped {
		notes = append(notes, "known.endpoints: passed over: "+err.Error())
	}
	return problems, notes
}

// jsonErrorPosition says where in a file its JSON ends to be any.
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
