package scale

// propagationTable returns the table of the times until policies, tenants and bans are in force at all nodes.
func propagationTable(data pageData) (string, error) {
	var rows [][]string
	for _, r := range data.records("force") {
		for _, kind := range []struct{ prefix, subject string }{
			{"policy", "a policy"}, {"tenant", "a tenant brought in"}, {"ban", "a ban"},
		} {
			for _, p := range r.Points {
				timeText := func(name string) string { return p.formatSpread(kind.prefix+name, "s") }
				rows = append(
					rows,
					[]string{
						kind.subject,
						formatNumber(float64(p.Sizes["nodes"])),
						formatNumber(float64(p.Sizes["changes"])),
						timeText("_half_s"),
						timeText("_most99_s"),
						timeText("_last_s"),
						timeText("_last_worst_s"),
						p.formatSpread("load", ""),
					},
				)
			}
		}
	}
	return markdownTable(
		[]string{
			"of",
			"hollow nodes",
			"changes of the list a second",
			"half of them",
			"99%",
			"the last",
			"the last, worst change",
			"load on 8 cores",
		},
		orNotRun(rows, 8),
	), nil
}

// fleetTable returns the table of the resources that hollow nodes use in one process.
func fleetTable(data pageData) (string, error) {
	var rows [][]string
	for _, r := range data.records("fleet") {
		for _, p := range r.Points {
			rows = append(
				rows,
				[]string{
					formatNumber(float64(p.Sizes["nodes"])),
					p.formatSpread("memory_bytes", "bytes"),
					p.formatSpread("descriptors", ""),
					p.formatSpread("datagrams_per_s", ""),
					p.formatSpread("rest_cores", "cores"),
					p.formatSpread(
						"ready_s",
						"s",
					),
					p.formatSpread("settled_s", "s"),
					formatPercent(p.Figures["alive"].Median),
					p.formatSpread("policy_half_s", "s"),
					p.formatSpread("policy_last_s", "s"),
				},
			)
		}
	}
	return markdownTable(
		[]string{
			"nodes in a process",
			"memory, each",
			"descriptors, each",
			"datagrams a second, each",
			"processor at rest, each",
			"all are ready",
			"all views are whole",
			"of their view, in the mean",
			"a policy: at half of them",
			"at the last",
		},
		orNotRun(rows, 10),
	), nil
}
