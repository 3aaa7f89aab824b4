// Package logging creates the process's structured logger. It writes one line per
// record, with a fixed message prefix for each part of the program.
package logging

import (
	"context"
	"io"
	"log/slog"
)

// New returns a logger that writes records of at least level to w as text.
func New(w io.Writer, level slog.Leveler) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: shortError}))
}

// shortError replaces an error by its message, without its stack trace.
func shortError(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, err.Error())
	}
	return a
}

// For returns a logger whose messages start with the name of a part, as in
// "failover: Promoted a new primary."
func For(log *slog.Logger, part string) *slog.Logger {
	return slog.New(prefixed{Handler: log.Handler(), prefix: part + ": "})
}

// prefixed is a handler that adds a prefix to each message.
type prefixed struct {
	slog.Handler
	prefix string
}

// Handle implements slog.Handler.
func (p prefixed) Handle(ctx context.Context, r slog.Record) error {
	out := slog.NewRecord(r.Time, r.Level, p.prefix+r.Message, r.PC)
	r.Attrs(func(a slog.Attr) bool {
		out.AddAttrs(a)
		return true
	})
	return p.Handler.Handle(ctx, out)
}

// WithAttrs implements slog.Handler.
func (p prefixed) WithAttrs(attrs []slog.Attr) slog.Handler {
	return prefixed{Handler: p.Handler.WithAttrs(attrs), prefix: p.prefix}
}

// WithGroup implements slog.Handler.
func (p prefixed) WithGroup(name string) slog.Handler {
	return prefixed{Handler: p.Handler.WithGroup(name), prefix: p.prefix}
}
