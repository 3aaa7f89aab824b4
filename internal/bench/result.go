package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/history"
	"github.com/pkg/errors"
)

// Row is the figures of one class of operations.
type Row struct {
	// Workload is the load's name.
	Workload string `json:"workload"`
	// Class is what the operations did.
	Class string `json:"class"`
	// Succeeded counts answers.
	Succeeded int `json:"succeeded"`
	// NotRun counts operations that surely did not run.
	NotRun int `json:"notRun"`
	// Unknown counts operations with an unknown outcome.
	Unknown int `json:"unknown"`
	// Replica is the share of answers that came from replicas.
	Replica float64 `json:"replicaShare"`
	// P50 is the median latency.
	P50 time.Duration `json:"p50"`
	// P99 is the 99th percentile of the latency.
	P99 time.Duration `json:"p99"`
	// Max is the highest latency.
	Max time.Duration `json:"max"`
}

// Gap is the longest span without a successful write.
type Gap struct {
	// Database is where.
	Database string `json:"database"`
	// Longest is how long.
	Longest time.Duration `json:"longest"`
}

// Verdict is one line of a run's verdict.
type Verdict struct {
	// Name says what was checked.
	Name string `json:"name"`
	// Passed is the result.
	Passed bool `json:"passed"`
	// Detail gives the figures.
	Detail string `json:"detail"`
}

// Result is the outcome of one load.
type Result struct {
	// Workload is the load's name.
	Workload string `json:"workload"`
	// Seed fixed arrivals and choices.
	Seed uint64 `json:"seed"`
	// Rows are the figures by class.
	Rows []Row `json:"rows"`
	// ReadReplica is the share of all reads that replicas answered.
	ReadReplica float64 `json:"readReplicaShare"`
	// Codes counts numbered results.
	Codes []codeCount `json:"codes"`
	// Dropped counts operations that were due and never begun.
	Dropped int `json:"dropped"`
	// Gaps are the longest spans without a successful write.
	Gaps []Gap `json:"gaps"`
	// Report is the check of the history.
	Report history.Report `json:"report"`
	// Verdicts are the checks, passed or failed.
	Verdicts []Verdict `json:"verdicts"`
	// Ops is the history.
	Ops []history.Op `json:"-"`
}

func newResult(opts *Options, r *recorder, final []history.Op, end time.Duration) *Result {
	res := &Result{Workload: opts.Workload.Name, Seed: opts.Seed, Codes: r.codes(), Dropped: r.dropped}
	for _, k := range classes {
		res.Rows = append(res.Rows, newRow(opts.Workload.Name, k, r.byClass[k]))
	}
	reads := r.byClass[classAged].succeeded + r.byClass[classOwn].succeeded
	onReplicas := r.byClass[classAged].replica + r.byClass[classOwn].replica
	res.ReadReplica = share(onReplicas, reads)
	for _, db := range opts.Databases {
		res.Gaps = append(res.Gaps, Gap{Database: db, Longest: writeGap(r.ops, db, min(end, opts.Duration))})
	}
	res.Ops = append(r.ops, final...)
	res.Report = history.Check(res.Ops)
	res.Verdicts = verdicts(opts.Workload.Name, &res.Report)
	return res
}

// AgedReplicaShare returns the share of aged reads that replicas answered.
func (r *Result) AgedReplicaShare() float64 {
	for _, row := range r.Rows {
		if row.Class == string(classAged) {
			return row.Replica
		}
	}
	return 0
}

func newRow(workload string, k class, f *figures) Row {
	return Row{
		Workload:  workload,
		Class:     string(k),
		Succeeded: f.succeeded,
		NotRun:    f.notRun,
		Unknown:   f.unknown,
		Replica:   share(f.replica, f.succeeded),
		P50:       time.Duration(f.latency.ValueAtQuantile(50)),
		P99:       time.Duration(f.latency.ValueAtQuantile(99)),
		Max:       time.Duration(f.latency.Max()),
	}
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// verdicts turns a report into checks: one for each promise, and two that the
// run has proved anything at all.
func verdicts(workload string, r *history.Report) []Verdict {
	var out []Verdict
	for _, p := range history.Promises {
		n := r.Count(p)
		out = append(out, Verdict{Name: workload + ": no " + string(p), Passed: n == 0, Detail: strconv.Itoa(n) + " found"})
	}
	return append(out,
		Verdict{Name: workload + ": acknowledged writes verified", Passed: r.Acknowledged > 0 && r.Unverified == 0,
			Detail: fmt.Sprintf("%d acknowledged, %d unverified", r.Acknowledged, r.Unverified)},
		Verdict{Name: workload + ": reads answered", Passed: r.Reads > 0, Detail: strconv.Itoa(r.Reads) + " checked"})
}

// maxShown bounds the violations that a text report lists.
const maxShown = 10

// WriteText prints the results as tables and ends with the line
// "N passed, N failed". It returns the number of failed checks.
func WriteText(w io.Writer, results []*Result) (failed int, err error) {
	if err := WriteTables(w, results); err != nil {
		return 0, err
	}
	var all []Verdict
	for _, res := range results {
		all = append(all, res.Verdicts...)
	}
	return WriteVerdicts(w, all)
}

// WriteTables prints the figures of results.
func WriteTables(w io.Writer, results []*Result) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	say := func(format string, args ...any) { _, _ = fmt.Fprintf(tw, format, args...) }
	say("workload\toperation\tsucceeded\tnot run\tunknown\treplica\tp50\tp99\tmax\n")
	for _, res := range results {
		for _, r := range res.Rows {
			say("%s\t%s\t%d\t%d\t%d\t%.1f%%\t%s\t%s\t%s\n", r.Workload, r.Class, r.Succeeded, r.NotRun, r.Unknown,
				100*r.Replica, round(r.P50), round(r.P99), round(r.Max))
		}
	}
	for _, res := range results {
		writeDetails(say, res)
	}
	say("\n")
	return errors.Wrap(tw.Flush(), "write report")
}

// WriteVerdicts prints one line for each verdict and ends with the line
// "N passed, N failed". It returns the number of failed checks.
func WriteVerdicts(w io.Writer, verdicts []Verdict) (failed int, err error) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, v := range verdicts {
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\n", word(v.Passed), v.Name, v.Detail)
		if !v.Passed {
			failed++
		}
	}
	_, _ = fmt.Fprintf(tw, "%d passed, %d failed\n", len(verdicts)-failed, failed)
	return failed, errors.Wrap(tw.Flush(), "write report")
}

func writeDetails(say func(string, ...any), res *Result) {
	r := &res.Report
	say("\n%s: %.1f%% of reads on replicas, seed %d, %d dropped\n", res.Workload, 100*res.ReadReplica, res.Seed, res.Dropped)
	say("writes: %d acknowledged, %d found, %d missing, %d doubled, %d unknown, %d not run; %d stale reads\n",
		r.Acknowledged, r.Found, r.Count(history.LostWrite), r.Count(history.DoubledWrite), r.UnknownWrites,
		r.NotRunWrites, r.Count(history.Stale)+r.Count(history.OwnWriteUnseen))
	for _, g := range res.Gaps {
		say("longest span without a successful write on %s: %s\n", g.Database, round(g.Longest))
	}
	for _, c := range res.Codes {
		in, _ := codes.Lookup(codes.Code(c.Code))
		say("code %d %s: %d\n", c.Code, in.Name, c.Count)
	}
	for i, v := range r.Violations {
		if i == maxShown {
			say("and %d more\n", len(r.Violations)-maxShown)
			break
		}
		say("violation: %s: %s %s by %s at %s on %q: %s\n", v.Promise, v.Op.Kind, v.Op.Key, v.Op.Session,
			round(v.Op.Start), v.Op.ServedBy, v.Detail)
	}
}

func word(passed bool) string {
	if passed {
		return "pass"
	}
	return "FAIL"
}

func round(d time.Duration) time.Duration {
	if d > time.Second {
		return d.Round(time.Millisecond)
	}
	return d.Round(10 * time.Microsecond)
}

// WriteJSON prints each result as one line. It returns the number of failed checks.
func WriteJSON(w io.Writer, results []*Result) (failed int, err error) {
	enc := json.NewEncoder(w)
	for _, res := range results {
		if err := enc.Encode(res); err != nil {
			return failed, errors.Wrap(err, "write report")
		}
		for _, v := range res.Verdicts {
			if !v.Passed {
				failed++
			}
		}
	}
	return failed, nil
}
