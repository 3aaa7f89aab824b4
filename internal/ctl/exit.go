package ctl

import (
	"fmt"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/jsonc"
	"github.com/pkg/errors"
)

// Exit codes. docs/OPERATIONS.md lists them.
const (
	// ExitOK means that the command did what was asked.
	ExitOK = 0
	// ExitFailed means a failure without a code of its own.
	ExitFailed = 1
	// ExitUsage means wrong arguments or a wrong settings file.
	ExitUsage = 2
	// ExitDeclarations means that the declarations contain errors.
	ExitDeclarations = 3
	// ExitStale means that the plan is unknown or its base isn't in force any more.
	ExitStale = 4
	// ExitPlatform means that the platform didn't answer; nothing was changed.
	ExitPlatform = 5
	// ExitUnknown means that a confirm may have taken effect; repeat it.
	ExitUnknown = 6
	// ExitNotAuthorized means that the operator or the key isn't accepted.
	ExitNotAuthorized = 7
	// ExitDrift means that the declarations differ from what is in force.
	ExitDrift = 8
	// ExitNothing means that there is nothing to change.
	ExitNothing = 9
)

// usageError marks wrong settings.
type usageError struct{ error }

// errDrift ends the command diff when there is drift.
var errDrift = errors.New("the declarations differ from what is in force")

func exitCode(err error) int {
	var usage usageError
	var problems jsonc.Problems
	switch {
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &problems):
		return ExitDeclarations
	case errors.Is(err, errDrift):
		return ExitDrift
	}
	e, ok := codes.From(err)
	if !ok {
		return ExitFailed
	}
	return exitOfCode(e.Code)
}

func exitOfCode(c codes.Code) int {
	switch c {
	case codes.DeclarationBad:
		return ExitDeclarations
	case codes.StaleBase, codes.PlanUnknown:
		return ExitStale
	case codes.PlatformDown:
		return ExitPlatform
	case codes.OutcomeUnknown:
		return ExitUnknown
	case codes.NotAuthorized:
		return ExitNotAuthorized
	case codes.NothingToChange:
		return ExitNothing
	default:
		return ExitFailed
	}
}

// describe adds the code's sentence and when to ask again.
func describe(err error) string {
	e, ok := codes.From(err)
	if !ok {
		return err.Error()
	}
	text := e.Error()
	if in, ok := codes.Lookup(e.Code); ok {
		text += "\n" + in.Text
	}
	if e.RetryAfter > 0 {
		text += fmt.Sprintf(" Ask again after %s.", e.RetryAfter)
	}
	return text
}
