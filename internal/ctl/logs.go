package ctl

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/cranberrystage/cranberrystage/internal/logread"
	"github.com/pkg/errors"
)

// readLogs reads the log files named on the command line, or standard input.
func (c *command) readLogs() ([]logread.Line, error) {
	if len(c.files) == 0 {
		return logread.Read("stdin", c.Stdin)
	}
	var out []logread.Line
	for _, name := range c.files {
		lines, err := readLog(name)
		if err != nil {
			return nil, err
		}
		out = append(out, lines...)
	}
	return out, nil
}

func readLog(name string) ([]logread.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "open a log")
	}
	defer file.Close()
	return logread.Read(name, file)
}

// story prints what the logs tell of one request.
func (c *command) story(context.Context) error {
	lines, err := c.readLogs()
	if err != nil {
		return err
	}
	story := logread.RequestLines(lines, c.id)
	if len(story) == 0 {
		return errors.Errorf("no line has the request %s: it was served in time, its line was left out, or another VM's log has it", c.id)
	}
	return c.printLines(story)
}

// timeline prints what changed the processes' belief.
func (c *command) timeline(context.Context) error {
	lines, err := c.readLogs()
	if err != nil {
		return err
	}
	return c.printLines(logread.Timeline(lines, c.group))
}

func (c *command) printLines(lines []logread.Line) error {
	for _, l := range lines {
		var fields strings.Builder
		for _, f := range l.Fields {
			fmt.Fprintf(&fields, " %s=%q", f.Name, f.Value)
		}
		_, err := fmt.Fprintf(c.Stdout, "%s %s %s: %s%s\n", l.Time.Format("15:04:05.000"), l.Source, l.Part, l.Message, fields.String())
		if err != nil {
			return err
		}
	}
	return nil
}
