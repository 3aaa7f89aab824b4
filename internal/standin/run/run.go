// Package run serves the emulator: the platform, database servers, or both,
// as one settings file says.
package run

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/jsonc"
	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/standin/dbserver"
	"github.com/cranberrystage/cranberrystage/internal/standin/platformd"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Settings say what one emulator process serves.
type Settings struct {
	// Platform is the platform's IP:port; empty means that it is not served.
	Platform string `json:"platform,omitempty"`
	// VMs is the platform's VM list at the start.
	VMs []platform.ListedVM `json:"vms,omitempty"`
	// Control is the IP:port of the servers' faults and counters; empty means none.
	Control string `json:"control,omitempty"`
	// Servers are the database servers.
	Servers []dbserver.Config `json:"servers,omitempty"`
}

// Load reads a settings file, JSON with comments.
func Load(path string) (Settings, error) {
	var s Settings
	if _, problems := jsonc.ReadFile(path, &s); len(problems) > 0 {
		return s, problems.Err()
	}
	return s, nil
}

const headerTimeout = 5 * time.Second

// Serve runs what s names until ctx ends.
func Serve(ctx context.Context, s Settings, log *slog.Logger) error {
	g, ctx := errgroup.WithContext(ctx)
	if s.Platform != "" {
		p := platformd.New()
		p.SetVMs(s.VMs)
		g.Go(func() error { return serveHTTP(ctx, s.Platform, p) })
	}
	servers := make(map[string]*dbserver.Server)
	for _, cfg := range s.Servers {
		db, err := dbserver.New(cfg, log)
		if err != nil {
			return err
		}
		servers[cfg.ID] = db
		g.Go(func() error { return db.Run(ctx) })
	}
	if s.Control != "" {
		g.Go(func() error { return serveHTTP(ctx, s.Control, controlHandler(servers)) })
	}
	log.Info("standin: Serving.", "platform", s.Platform, "servers", len(s.Servers))
	return g.Wait()
}

func serveHTTP(ctx context.Context, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

// controlHandler serves faults and counters by server:
//
//	PUT  /servers/{id}/faults   a dbserver.Faults
//	POST /servers/{id}/silence  makes the connections open now silent
//	GET  /servers/{id}/stats    a dbserver.Stats
func controlHandler(servers map[string]*dbserver.Server) http.Handler {
	mux := http.NewServeMux()
	with := func(f func(s *dbserver.Server, w http.ResponseWriter, r *http.Request)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			s, ok := servers[r.PathValue("id")]
			if !ok {
				http.NotFound(w, r)
				return
			}
			f(s, w, r)
		}
	}
	mux.HandleFunc("PUT /servers/{id}/faults", with(setFaults))
	mux.HandleFunc("POST /servers/{id}/silence", with(func(s *dbserver.Server, _ http.ResponseWriter, _ *http.Request) {
		s.SilenceConnections()
	}))
	mux.HandleFunc("GET /servers/{id}/stats", with(func(s *dbserver.Server, w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Stats())
	}))
	return mux
}

func setFaults(s *dbserver.Server, w http.ResponseWriter, r *http.Request) {
	var f dbserver.Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}
