// Package run runs an emulator process, which serves the platform, database
// servers, or both, as configured by a settings file.
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

// Settings configure one emulator process.
type Settings struct {
	// Platform is the platform's IP:port; if empty, the platform is not served.
	Platform string `json:"platform,omitempty"`
	// VMs is the platform's initial VM list.
	VMs []platform.ListedVM `json:"vms,omitempty"`
	// Control is the IP:port at which the servers' faults are set and their
	// counters read; empty disables it.
	Control string `json:"control,omitempty"`
	// Servers are the database servers.
	Servers []dbserver.Config `json:"servers,omitempty"`
}

// Load reads a settings file in JSON with comments.
func Load(path string) (Settings, error) {
	var s Settings
	if _, problems := jsonc.ReadFile(path, &s); len(problems) > 0 {
		return s, problems.Err()
	}
	return s, nil
}

const headerTimeout = 5 * time.Second

// Serve runs the services that s configures until ctx is done.
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

// controlHandler sets the faults and returns the counters of each server:
//
//	PUT  /servers/{id}/faults   a dbserver.Faults
//	POST /servers/{id}/silence  stops all responses on the open connections
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
