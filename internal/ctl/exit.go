package ctl

import (
	"fmt"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/jsonc"
	"github.com/pkg/errors"
)

// Exit codes. docs/OPERATIONS.md lists them.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means a failure that has no exit code of its own.
	ExitFailed = 1
	// ExitUsage means invalid arguments or an invalid settings file.
	ExitUsage = 2
	// ExitDeclarations means that the declarations contain errors.
	ExitDeclarations = 3
	// ExitStalePlan means that the plan is unknown or its base version is no longer in force.
	ExitStalePlan = 4
	// ExitPlatform means that the platform didn't answer; nothing was changed.
	ExitPlatform = 5
	// ExitOutcomeUnknown means that a confirm may have taken effect; repeating it
	// shows the result.
	ExitOutcomeUnknown = 6
	// ExitNotAuthorized means that the operator or the key isn't accepted.
	ExitNotAuthorized = 7
	// ExitDrift means that the declarations differ from the configuration in force.
	ExitDrift = 8
	// ExitNothingToChange means that there is nothing to change.
	ExitNothingToChange = 9
)

// usageError marks an error that has the exit code ExitUsage.
type usageError struct{ error }

// errDrift is returned by the command diff when there is drift.
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
		return ExitStalePlan
	case codes.PlatformDown:
		return ExitPlatform
	case codes.OutcomeUnknown:
		return ExitOutcomeUnknown
	case codes.NotAuthorized:
		return ExitNotAuthorized
	case codes.NothingToChange:
		return ExitNothingToChange
	default:
		return ExitFailed
	}
}

// describe returns the text of err with the code's sentence and, if there is one,
// the delay after which to retry.
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
