package ctl

import (
	"context"
	"os"
	"strings"

	"github.com/cranberrystage/cranberrystage/internal/confcheck"
	"github.com/cranberrystage/cranberrystage/internal/declare"
	"github.com/cranberrystage/cranberrystage/internal/jsonc"
	"github.com/cranberrystage/cranberrystage/internal/plan"
	"github.com/pkg/errors"
)

// errFindings is returned by the command check if there are errors, which it has
// printed.
var errFindings = errors.New("the check found errors")

// check prints the findings on a configuration and what differs from another version.
// Its exit code is ExitOK without errors, ExitFailed with errors, and ExitUsage if a
// file can't be read.
func (c *command) check(context.Context) error {
	check := c.checkDeclarations
	if c.platform {
		check = c.checkPlatform
	}
	r, err := check()
	if err != nil {
		return usageError{err}
	}
	if r.Findings == nil {
		r.Findings = []confcheck.Finding{}
	}
	if err := c.print(r, r.Write); err != nil {
		return err
	}
	if r.HasErrors() {
		return errFindings
	}
	return nil
}

func (c *command) checkPlatform() (*confcheck.Report, error) {
	value, err := os.ReadFile(c.id)
	if err != nil {
		return nil, errors.Wrap(err, "read the configuration")
	}
	var against []byte
	if c.against != "" {
		if against, err = os.ReadFile(c.against); err != nil {
			return nil, errors.Wrap(err, "read the other version")
		}
	}
	r, err := c.CheckPlatform(value, against)
	return r, errors.Wrap(err, c.id)
}

func (c *command) checkDeclarations() (*confcheck.Report, error) {
	doc, problems, notices, readable := declare.Check(c.id)
	if !readable {
		return nil, problems.Err()
	}
	r := &confcheck.Report{}
	addProblems(r, confcheck.Error, problems)
	addProblems(r, confcheck.Notice, notices)
	if c.against == "" {
		return r, nil
	}
	other, problems, _, readable := declare.Check(c.against)
	if !readable {
		return nil, problems.Err()
	}
	r.Changes = []confcheck.Change{}
	lines := make(map[string]int) // index of each entry's line
	for _, ch := range plan.Diff(other, doc, plan.State{}) {
		i, ok := lines[ch.Subject]
		if ok {
			r.Changes[i].Text += " " + ch.Text
		} else {
			i = len(r.Changes)
			lines[ch.Subject] = i
			r.Changes = append(r.Changes, confcheck.Change{Entry: ch.Subject, Text: string(ch.Kind) + ": " + ch.Text})
		}
		if callers := affected(ch); callers != "" {
			r.Changes[i].Callers = callers
		}
	}
	return r, nil
}

// affected returns which callers a change takes something from; empty if none, or if
// that depends on values that the text of the change states.
func affected(ch plan.Change) string {
	kind, name, _ := strings.Cut(ch.Subject, " ")
	switch {
	case ch.Kind == plan.Removed && kind == "service":
		return "those of databases, intents or objectives of " + name + " that are removed"
	case ch.Kind == plan.Removed && kind == "user":
		return "those who log in as " + name
	}
	return ""
}

func addProblems(r *confcheck.Report, level confcheck.Level, problems jsonc.Problems) {
	for _, p := range problems {
		r.Findings = append(r.Findings, confcheck.Finding{Level: level, Place: p.Place(), Reason: p.Message})
	}
}
