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

// Row is the result for one class of operations.
type Row struct {
	// Workload is the load's name.
	Workload string `json:"workload"`
	// Class names the class.
	Class string `json:"class"`
	// Succeeded counts the acknowledged operations.
	Succeeded int `json:"succeeded"`
	// NotRun counts operations that certainly did not run.
	NotRun int `json:"notRun"`
	// Unknown counts operations with an unknown outcome.
	Unknown int `json:"unknown"`
	// Replica is the share of acknowledged operations that replicas served.
	Replica float64 `json:"replicaShare"`
	// P50 is the median latency.
	P50 time.Duration `json:"p50"`
	// P99 is the 99th percentile of the latency.
	P99 time.Duration `json:"p99"`
	// Max is the highest latency.
	Max time.Duration `json:"max"`
}

// Gap is the longest time without a successful write to a database.
type Gap struct {
	Database string        `json:"database"`
	Longest  time.Duration `json:"longest"`
}

// Verdict is the result of one check.
type Verdict struct {
	// Name describes what was checked.
	Name   string `json:"name"`
	Passed bool   `json:"passed"`
	// Detail gives the measured values.
	Detail string `json:"detail"`
}

// Result is the result of one load.
type Result struct {
	// Workload is the load's name.
	Workload string `json:"workload"`
	// Seed is the seed of the random arrivals and operations.
	Seed uint64 `json:"seed"`
	// Rows are the results by class.
	Rows []Row `json:"rows"`
	// ReadReplica is the share of all reads that replicas served.
	ReadReplica float64 `json:"readReplicaShare"`
	// Codes counts the result codes.
	Codes []codeCount `json:"codes"`
	// Dropped counts operations that arrived and were never started.
	Dropped int `json:"dropped"`
	// Gaps are the longest times without a successful write, by database.
	Gaps []Gap `json:"gaps"`
	// Report is the result of checking the history.
	Report history.Report `json:"report"`
	// Verdicts are the results of all checks.
	Verdicts []Verdict `json:"verdicts"`
	// Ops is the history: all operations, the final reads included.
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
		res.Gaps = append(res.Gaps, Gap{Database: db, Longest: longestWriteGap(r.ops, db, min(end, opts.Duration))})
	}
	res.Ops = append(r.ops, final...)
	res.Report = history.Check(res.Ops)
	res.Verdicts = verdicts(opts.Workload.Name, &res.Report)
	return res
}

// AgedReplicaShare returns the share of aged reads that replicas served.
func (r *Result) AgedReplicaShare() float64 {
	for _, row := range r.Rows {
		if row.Class == string(classAged) {
			return row.Replica
		}
	}
	return 0
}

func newRow(workload string, k class, stats *classStats) Row {
	return Row{
		Workload:  workload,
		Class:     string(k),
		Succeeded: stats.succeeded,
		NotRun:    stats.notRun,
		Unknown:   stats.unknown,
		Replica:   share(stats.replica, stats.succeeded),
		P50:       time.Duration(stats.latency.ValueAtQuantile(50)),
		P99:       time.Duration(stats.latency.ValueAtQuantile(99)),
		Max:       time.Duration(stats.latency.Max()),
	}
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// verdicts returns one check for each promise, and two that fail if the run
// verified no write or no read.
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

// maxListedViolations is the maximum number of violations in a text report.
const maxListedViolations = 10

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

// WriteTables prints the results as tables, without verdicts.
func WriteTables(w io.Writer, results []*Result) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(tw, format, args...) }
	printf("workload\toperation\tsucceeded\tnot run\tunknown\treplica\tp50\tp99\tmax\n")
	for _, res := range results {
		for _, r := range res.Rows {
			printf("%s\t%s\t%d\t%d\t%d\t%.1f%%\t%s\t%s\t%s\n", r.Workload, r.Class, r.Succeeded, r.NotRun, r.Unknown,
				100*r.Replica, round(r.P50), round(r.P99), round(r.Max))
		}
	}
	for _, res := range results {
		writeDetails(printf, res)
	}
	printf("\n")
	return errors.Wrap(tw.Flush(), "write report")
}

// WriteVerdicts prints one line for each verdict and ends with the line
// "N passed, N failed". It returns the number of failed checks.
func WriteVerdicts(w io.Writer, verdicts []Verdict) (failed int, err error) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, v := range verdicts {
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\n", verdictWord(v.Passed), v.Name, v.Detail)
		if !v.Passed {
			failed++
		}
	}
	_, _ = fmt.Fprintf(tw, "%d passed, %d failed\n", len(verdicts)-failed, failed)
	return failed, errors.Wrap(tw.Flush(), "write report")
}

func writeDetails(printf func(string, ...any), res *Result) {
	r := &res.Report
	printf("\n%s: %.1f%% of reads on replicas, seed %d, %d dropped\n", res.Workload, 100*res.ReadReplica, res.Seed, res.Dropped)
	printf("writes: %d acknowledged, %d found, %d missing, %d doubled, %d unknown, %d not run; %d stale reads\n",
		r.Acknowledged, r.Found, r.Count(history.LostWrite), r.Count(history.DoubledWrite), r.UnknownWrites,
		r.NotRunWrites, r.Count(history.Stale)+r.Count(history.OwnWriteUnseen))
	for _, g := range res.Gaps {
		printf("longest span without a successful write on %s: %s\n", g.Database, round(g.Longest))
	}
	for _, c := range res.Codes {
		in, _ := codes.Lookup(codes.Code(c.Code))
		printf("code %d %s: %d\n", c.Code, in.Name, c.Count)
	}
	for i, v := range r.Violations {
		if i == maxListedViolations {
			printf("and %d more\n", len(r.Violations)-maxListedViolations)
			break
		}
		printf("violation: %s: %s %s by %s at %s on %q: %s\n", v.Promise, v.Op.Kind, v.Op.Key, v.Op.Session,
			round(v.Op.Start), v.Op.ServedBy, v.Detail)
	}
}

func verdictWord(passed bool) string {
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
