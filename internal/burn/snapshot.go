// Package burn computes from samples of the proxies' metrics how fast services
// use up the error budgets of their objectives.
package burn

import (
	"io"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Suffixes of the metric names of a histogram.
const (
	suffixBucket = "_bucket"
	suffixCount  = "_count"
	suffixSum    = "_sum"
)

// usedMetrics are the counters that the report reads.
var usedMetrics = []string{
	metrics.RequestsTotal,
	metrics.RequestSeconds + suffixBucket,
	metrics.RequestSeconds + suffixCount,
	metrics.ReadAgeSeconds + suffixCount,
	metrics.WriteGapSeconds + suffixCount,
	metrics.WriteGapSeconds + suffixSum,
}

// Snapshot holds the counters of one proxy at one time.
type Snapshot struct {
	// Source identifies the proxy, such as by the URL of its metrics.
	Source string
	// At is when the counters were read.
	At time.Time

	counters map[series]float64
}

// series identifies one counter. Fields that a metric doesn't have are empty.
type series struct {
	metric   string
	service  tables.ServiceID
	group    tables.GroupID
	kind     metrics.Kind
	servedBy metrics.ServedBy
	code     codes.Code
	// within means that the age of the counted reads was within their maximum age.
	within bool
	// bound is the upper bound of a histogram bucket in seconds.
	bound float64
}

// Parse reads metrics in the Prometheus text format. Metrics that the report
// doesn't use are skipped.
func Parse(source string, at time.Time, r io.Reader) (Snapshot, error) {
	s := Snapshot{Source: source, At: at, counters: make(map[series]float64)}
	dec := expfmt.SampleDecoder{
		Dec:  expfmt.NewDecoder(r, expfmt.NewFormat(expfmt.TypeTextPlain)),
		Opts: &expfmt.DecodeOptions{Timestamp: model.TimeFromUnixNano(at.UnixNano())},
	}
	for {
		var samples model.Vector
		err := dec.Decode(&samples)
		if errors.Is(err, io.EOF) {
			return s, nil
		}
		if err != nil {
			return Snapshot{}, errors.Wrapf(err, "metrics of %s", source)
		}
		if err := s.add(samples); err != nil {
			return Snapshot{}, errors.Wrapf(err, "metrics of %s", source)
		}
	}
}

func (s Snapshot) add(samples model.Vector) error {
	for _, sample := range samples {
		if !slices.Contains(usedMetrics, string(sample.Metric[model.MetricNameLabel])) {
			continue
		}
		key, err := newSeries(sample.Metric)
		if err != nil {
			return err
		}
		s.counters[key] += float64(sample.Value)
	}
	return nil
}

func newSeries(m model.Metric) (series, error) {
	key := series{
		metric:   string(m[model.MetricNameLabel]),
		service:  tables.ServiceID(m[metrics.LabelService]),
		group:    tables.GroupID(m[metrics.LabelGroup]),
		kind:     metrics.Kind(m[metrics.LabelKind]),
		servedBy: metrics.ServedBy(m[metrics.LabelServedBy]),
		within:   m[metrics.LabelWithin] == "true",
	}
	if text, ok := m[metrics.LabelCode]; ok {
		n, err := strconv.Atoi(string(text))
		if err != nil {
			return series{}, errors.Errorf("label %s: want a number, have %q", metrics.LabelCode, text)
		}
		key.code = codes.Code(n)
	}
	if text, ok := m[model.BucketLabel]; ok {
		bound, err := strconv.ParseFloat(string(text), 64)
		if err != nil {
			return series{}, errors.Errorf("label %s: want a number, have %q", model.BucketLabel, text)
		}
		key.bound = bound
	}
	return key, nil
}

// finite reports whether s is a histogram bucket with a finite bound.
func (s series) finite() bool { return s.bound > 0 && !math.IsInf(s.bound, 1) }
