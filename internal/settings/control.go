package settings

import (
	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/jsonc"
)

// Control holds the settings of the operators' command line tool.
type Control struct {
	// Platform is the table service.
	Platform Platform `json:"platform"`
	// Objects is the object store.
	Objects Objects `json:"objects"`
	// Operator is the declared name of the operator who confirms plans.
	Operator string `json:"operator"`
	// KeyFile is the PEM file of the operator's Ed25519 key.
	KeyFile string `json:"keyFile"`
	// Proxies are the admin addresses of the proxies whose status is requested.
	Proxies []string `json:"proxies"`
	// StatusTimeout bounds the status request to one proxy.
	StatusTimeout config.Duration `json:"statusTimeout"`
}

// ControlDefaults returns the tool's default settings.
func ControlDefaults() Control {
	d := Defaults()
	return Control{
		Platform:      d.Platform,
		Objects:       d.Objects,
		StatusTimeout: config.Duration(DefaultStatusTimeout),
	}
}

// LoadControl reads and checks the tool's settings file at path. The error is
// jsonc.Problems with all problems found.
func LoadControl(path string) (Control, error) {
	s := ControlDefaults()
	src, problems := jsonc.ReadFile(path, &s)
	if src.Parsed() {
		problems = problems.And(checkControl(src, s))
	}
	if err := problems.Err(); err != nil {
		return Control{}, err
	}
	return s, nil
}

func checkControl(src *jsonc.Source, s Control) jsonc.Problems {
	c := &checker{src: src}
	c.platform(s.Platform)
	c.objects(s.Objects)
	c.addresses("proxies", s.Proxies)
	c.positive("statusTimeout", s.StatusTimeout)
	if s.KeyFile != "" && s.Operator == "" {
		c.add("operator", "is required beside keyFile")
	}
	c.problems.Sort()
	return c.problems
}
