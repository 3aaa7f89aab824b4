package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// SlopePoint is one measurement.
type SlopePoint struct {
	// Size is the number of VMs, groups, servers or probes, see Slope.Against.
	Size int `json:"size"`
	// Cost is the measured cost, see Slope.Unit.
	Cost float64 `json:"cost"`
}

// Slope is a cost measured at several sizes, with its least-squares line.
type Slope struct {
	// Name describes what was measured.
	Name string `json:"name"`
	// Unit is the unit of the costs.
	Unit string `json:"unit"`
	// Against names what the size counts.
	Against string `json:"against"`
	// Points are in ascending order of size.
	Points []SlopePoint `json:"points"`
	// Fixed is the cost at size 0 according to the line.
	Fixed float64 `json:"fixed"`
	// PerUnit is the slope of the line.
	PerUnit float64 `json:"perUnit"`
	// Fit is the coefficient of determination; it is 1 if all points are on the line.
	Fit float64 `json:"fit"`
}

// At returns the cost at size according to the line.
func (s Slope) At(size int) float64 { return s.Fixed + s.PerUnit*float64(size) }

// Slopes measures, in this process, how the costs of a proxy's control systems
// grow with the sizes of the deployment and of its configuration.
func Slopes(ctx context.Context) ([]Slope, error) {
	var all []Slope
	for _, measure := range []func() ([]Slope, error){
		coreSlopes, snapshotSlopes, membershipSlopes, configurationSlopes, memorySlopes,
		func() ([]Slope, error) { return probeSlopes(ctx) },
	} {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		slopes, err := measure()
		if err != nil {
			return nil, err
		}
		all = append(all, slopes...)
	}
	return all, nil
}

// newSlope fits a line through points by least squares.
func newSlope(name, unit, against string, points []SlopePoint) Slope {
	s := Slope{Name: name, Unit: unit, Against: against, Points: points}
	n := float64(len(points))
	var meanX, meanY float64
	for _, p := range points {
		meanX += float64(p.Size) / n
		meanY += p.Cost / n
	}
	var xx, xy, yy float64
	for _, p := range points {
		dx, dy := float64(p.Size)-meanX, p.Cost-meanY
		xx += dx * dx
		xy += dx * dy
		yy += dy * dy
	}
	s.Fit = 1
	if xx > 0 {
		s.PerUnit = xy / xx
	}
	if xx > 0 && yy > 0 {
		s.Fit = xy * xy / (xx * yy)
	}
	s.Fixed = meanY - s.PerUnit*meanX
	return s
}

// WriteSlopesText prints slopes as a table.
func WriteSlopesText(w io.Writer, slopes []Slope) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "cost\tunit\tagainst\trange\tat 0\teach\tfit\tmeasured")
	for _, s := range slopes {
		first, last := s.Points[0], s.Points[len(s.Points)-1]
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%d to %d\t%.4g\t%.4g\t%.3f\t%.4g to %.4g\n",
			s.Name, s.Unit, s.Against, first.Size, last.Size, s.Fixed, s.PerUnit, s.Fit, first.Cost, last.Cost)
	}
	return errors.Wrap(tw.Flush(), "write table")
}

// WriteSlopesJSON prints each slope as one line.
func WriteSlopesJSON(w io.Writer, slopes []Slope) error {
	enc := json.NewEncoder(w)
	for _, s := range slopes {
		if err := enc.Encode(s); err != nil {
			return errors.Wrap(err, "write slopes")
		}
	}
	return nil
}
