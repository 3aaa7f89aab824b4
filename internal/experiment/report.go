package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/bench"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// reportLine is the JSON form of a Report.
type reportLine struct {
	Experiment  string           `json:"experiment"`
	Seed        uint64           `json:"seed"`
	Affected    []tables.GroupID `json:"harmed"`
	Gaps        []gapLine        `json:"gaps"`
	Loads       []loadLine       `json:"loads"`
	Figures     []Figure         `json:"figures"`
	FailedLater int              `json:"failedLater"`
	Failed      []bench.Verdict  `json:"failed"`
	Passed      int              `json:"passed"`
}

type gapLine struct {
	bench.Gap
	Affected bool `json:"harmed"`
}

type loadLine struct {
	Workload  string  `json:"workload"`
	Succeeded int     `json:"succeeded"`
	NotRun    int     `json:"notRun"`
	Unknown   int     `json:"unknown"`
	AgedShare float64 `json:"agedReplicaShare"`
	ReadShare float64 `json:"readReplicaShare"`
}

func newReportLine(rep *Report) reportLine {
	r := run{affected: rep.Affected}
	out := reportLine{Experiment: rep.Experiment, Seed: rep.Seed, Affected: rep.Affected, Figures: rep.Figures, FailedLater: rep.FailedLater}
	for _, res := range rep.Results {
		for _, g := range res.Gaps {
			out.Gaps = append(out.Gaps, gapLine{Gap: g, Affected: r.isAffected(g.Database)})
		}
		out.Loads = append(out.Loads, newLoadLine(res))
	}
	for _, v := range rep.Verdicts {
		if v.Passed {
			out.Passed++
		} else {
			out.Failed = append(out.Failed, v)
		}
	}
	return out
}

func newLoadLine(res *bench.Result) loadLine {
	out := loadLine{Workload: res.Workload, AgedShare: res.AgedReplicaShare(), ReadShare: res.ReadReplica}
	for _, row := range res.Rows {
		out.Succeeded += row.Succeeded
		out.NotRun += row.NotRun
		out.Unknown += row.Unknown
	}
	return out
}

// Write prints the report as tables, then as one JSON line, then its verdicts
// and the line "N passed, N failed" at the end. It returns the number of
// failed checks.
func Write(w io.Writer, rep *Report) (failed int, err error) {
	if err := bench.WriteTables(w, rep.Results); err != nil {
		return 0, err
	}
	for _, f := range rep.Figures {
		_, _ = fmt.Fprintf(w, "%s: %s\n", f.Name, f.Value.Round(time.Millisecond))
	}
	_, _ = fmt.Fprintf(w, "%d operations failed after the fault had ended and settled\n\n", rep.FailedLater)
	if err := json.NewEncoder(w).Encode(newReportLine(rep)); err != nil {
		return 0, errors.Wrap(err, "write report")
	}
	return bench.WriteVerdicts(w, rep.Verdicts)
}
