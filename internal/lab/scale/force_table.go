package scale

// ordersTable is policies, tenants and bans until they are in force everywhere.
func ordersTable(s sheet) (string, error) {
	var rows [][]string
	for _, r := range s.records("force") {
		for _, kind := range []struct{ name, what string }{{"policy", "a policy"}, {"tenant", "a tenant brought in"}, {"ban", "a ban"}} {
			for _, p := range r.Points {
				t := func(name string) string { return p.shown(kind.name+name, "s") }
				rows = append(
					rows,
					[]string{
						kind.what,
						number(float64(p.Sizes["nodes"])),
						number(float64(p.Sizes["changes"])),
						t("_half_s"),
						t("_most99_s"),
						t("_last_s"),
						t("_last_worst_s"),
						p.shown("load", ""),
					},
				)
			}
		}
	}
	return table(
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

// fleetTable is what whole hollow nodes take, all in one process.
func fleetTable(s sheet) (string, error) {
	var rows [][]string
	for _, r := range s.records("fleet") {
		for _, p := range r.Points {
			rows = append(
				rows,
				[]string{
					number(float64(p.Sizes["nodes"])),
					p.shown("memory_bytes", "bytes"),
					p.shown("descriptors", ""),
					p.shown("datagrams_per_s", ""),
					p.shown("rest_cores", "cores"),
					p.shown(
						"ready_s",
						"s",
					),
					p.shown("settled_s", "s"),
					percent(p.Figures["alive"].Median),
					p.shown("policy_half_s", "s"),
					p.shown("policy_last_s", "s"),
				},
			)
		}
	}
	return table(
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
