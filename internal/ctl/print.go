package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/plan"
	"github.com/cranberrystage/cranberrystage/internal/statusapi"
	"github.com/pkg/errors"
)

func (c *command) printJSON(v any) error {
	enc := json.NewEncoder(c.Stdout)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(v), "print")
}

// print writes v as JSON, or with text if JSON wasn't asked for.
func (c *command) print(v any, text func(io.Writer)) error {
	if c.json {
		return c.printJSON(v)
	}
	var b strings.Builder
	text(&b)
	_, err := io.WriteString(c.Stdout, b.String())
	return errors.Wrap(err, "print")
}

func (c *command) printPlan(p plan.Plan) error {
	return c.print(p, func(w io.Writer) {
		fmt.Fprintf(w, "plan %s\nbase version %d\n\nchanges\n", p.ID, p.BaseVersion)
		writeChanges(w, p.Changes)
		fmt.Fprintln(w, "\nexpected cost")
		writeCost(w, p.Cost)
		if !c.confirmNow {
			fmt.Fprintf(w, "\nnothing has changed yet; to put it in force: cranberrystage-ctl confirm %s\n", p.ID)
		}
	})
}

func writeChanges(w io.Writer, changes []plan.Change) {
	tab := table(w)
	for _, ch := range changes {
		fmt.Fprintf(tab, "  %s\t%s\t%s\n", ch.Subject, ch.Kind, ch.Text)
	}
	_ = tab.Flush()
}

func writeCost(w io.Writer, cost plan.Cost) {
	tab := table(w)
	fmt.Fprintf(tab, "  connections moved\t%s\n", estimate(cost.ConnectionsMoved, cost.Counted))
	fmt.Fprintf(tab, "  sessions touched\t%s\n", sessions(cost))
	fmt.Fprintf(tab, "  primary moves\t%d\n", cost.PrimaryMoves)
	fmt.Fprintf(tab, "  write gap of each move\t%s\n", time.Duration(cost.WriteGap))
	for _, s := range cost.ReplicaShares {
		fmt.Fprintf(tab, "  replica slots of %s\t%.0f%% before, %.0f%% after\n", s.Service, s.Before*100, s.After*100)
	}
	fmt.Fprintf(tab, "  table-service requests\t%d\n", cost.TableRequests)
	fmt.Fprintf(tab, "  rollout time\t%s\n", time.Duration(cost.RolloutTime))
	_ = tab.Flush()
}

// estimate says whether n was counted or is the declared limit.
func estimate(n int, counted bool) string {
	if counted {
		return fmt.Sprint(n)
	}
	return fmt.Sprintf("at most %d (not reported by the proxies)", n)
}

func sessions(cost plan.Cost) string {
	if !cost.Counted {
		return "unknown (not reported by the proxies)"
	}
	return fmt.Sprint(cost.SessionsTouched)
}

func (c *command) printDiff(version uint64, changes []plan.Change) error {
	if changes == nil {
		changes = []plan.Change{}
	}
	return c.print(changes, func(w io.Writer) {
		if len(changes) == 0 {
			fmt.Fprintf(w, "no drift from version %d\n", version)
			return
		}
		fmt.Fprintf(w, "drift: the declarations would change version %d\n", version)
		writeChanges(w, changes)
	})
}

func (c *command) printResult(r plan.Result) error {
	return c.print(r, func(w io.Writer) {
		verb := "in force"
		if r.Already {
			verb = "already in force"
		}
		if r.Replaced {
			verb = "was in force and has been replaced"
		}
		fmt.Fprintf(w, "version %d %s: plan %s, confirmed by %s at %s\n",
			r.Head.Version, verb, r.Head.PlanID, r.Head.Operator, r.Head.ConfirmedAt.Format(time.RFC3339))
	})
}

func (c *command) printHistory(heads []config.Head) error {
	return c.print(heads, func(w io.Writer) {
		tab := table(w)
		fmt.Fprintln(tab, "VERSION\tCONFIRMED\tOPERATOR\tPLAN")
		for _, h := range heads {
			fmt.Fprintf(tab, "%d\t%s\t%s\t%s\n", h.Version, h.ConfirmedAt.Format(time.RFC3339), h.Operator, h.PlanID)
		}
		_ = tab.Flush()
	})
}

func (c *command) printStatus(answers []answer) error {
	return c.print(answers, func(w io.Writer) {
		writeProxies(w, answers)
		groups := summarize(statuses(answers))
		if len(groups) > 0 {
			writeGroups(w, groups)
		}
		if slices.ContainsFunc(groups, func(g groupSummary) bool { return len(g.refused) > 0 }) {
			writeRefused(w, groups)
		}
	})
}

func writeProxies(w io.Writer, answers []answer) {
	tab := table(w)
	fmt.Fprintln(tab, "PROXY\tDATA CENTRE\tVERSION\tREADY\tPEERS\tADMIN ADDRESS")
	for _, a := range answers {
		if a.Status == nil {
			fmt.Fprintf(tab, "?\t?\t?\t?\t?\t%s: %s\n", a.Address, a.Error)
			continue
		}
		s := a.Status
		fmt.Fprintf(tab, "%s\t%s\t%d\t%t\t%d\t%s\n", s.VM, s.DataCentre, s.ConfigVersion, s.Ready, heard(*s), a.Address)
	}
	_ = tab.Flush()
}

// heard counts the peers that the proxy has heard.
func heard(s statusapi.Status) int {
	n := 0
	for _, p := range s.Peers {
		if p.LastSeenMillis >= 0 {
			n++
		}
	}
	return n
}

func writeGroups(w io.Writer, groups []groupSummary) {
	tab := table(w)
	fmt.Fprintln(tab, "\nGROUP\tTERM\tPRIMARY\tUPSTREAM\tPOSITION\tWORST LAG\tPROBES")
	for _, g := range groups {
		for _, u := range g.upstreams {
			fmt.Fprintf(tab, "%s\t%d\t%s\t%s\t%d/%d\t%s\t%s\n", g.group, g.term, g.primaryText(),
				u.upstream, u.position.LogTerm, u.position.Index, u.lagText(), u.probeText())
		}
	}
	_ = tab.Flush()
}

func writeRefused(w io.Writer, groups []groupSummary) {
	tab := table(w)
	fmt.Fprintln(tab, "\nGROUP\tREFUSED\tCODE")
	for _, g := range groups {
		for _, r := range g.refused {
			fmt.Fprintf(tab, "%s\t%d\t%s\n", g.group, r.Count, refusalText(r.Code))
		}
	}
	_ = tab.Flush()
}

func table(w io.Writer) *tabwriter.Writer {
	const padding = 2
	return tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
}
