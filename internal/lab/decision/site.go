package decision

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Site is the part of a site file of the bench that describes load and engines; other keys are ignored.
type Site struct {
	Name     string    `toml:"name"`
	LengthS  float64   `toml:"length_s"`
	Machines []Machine `toml:"machines"`
	Services []Service `toml:"services"`
	Classes  []*Class  `toml:"classes"`
	Traffic  []Traffic `toml:"traffic"`
	Days     []Day     `toml:"day"`
}

// Machine is a group of equal machines, each with one router.
type Machine struct {
	Count int `toml:"count"`
}

// Service is a group of endpoints.
type Service struct {
	Name    string `toml:"name"`
	Servers []struct {
		Count int `toml:"count"`
	} `toml:"servers"`
	Engine *EngineSpec `toml:"llm"`
}

// Class is a class of requests.
type Class struct {
	Name     string  `toml:"name"`
	TargetMs float64 `toml:"aim_ms"`
	Priority int     `toml:"priority"`
	Service  string  `toml:"service"`
	Skew     float64 `toml:"skew"`
	Stream   struct {
		Pieces       sizes   `toml:"pieces"`
		MaxGapMs     float64 `toml:"gap_aim_ms"`
		PromptTokens sizes   `toml:"prompt_tokens"`
		Chain        []struct {
			Tokens sizes `toml:"tokens"`
			Count  int   `toml:"things"`
		} `toml:"chain"`
	} `toml:"stream"`
}

// Traffic is one zone's clients.
type Traffic struct {
	Mix   map[string]float64 `toml:"mix"`
	PerS  float64            `toml:"per_s"`
	Shape struct {
		Clump float64 `toml:"clump"` // requests that come together
	} `toml:"shape"`
}

// Day is a day's own traffic.
type Day struct {
	Name    string    `toml:"name"`
	Traffic []Traffic `toml:"traffic"`
}

// sizes is a log-normal distribution of sizes, rounded and at least 1. Sigma is the standard deviation of the logarithm; Max cuts it off
// unless it is 0.
type sizes struct {
	Mean  float64 `toml:"mean"`
	Sigma float64 `toml:"spread"`
	Max   float64 `toml:"max"`
}

// draw returns one size.
func (s sizes) draw(random *rand.Rand) float64 {
	value := s.Mean * math.Exp(s.Sigma*random.NormFloat64()-s.Sigma*s.Sigma/2)
	if s.Max > 0 {
		value = min(value, s.Max)
	}
	return max(1, math.Round(value))
}

// ReadSite reads a site file. An error names the file.
func ReadSite(path string) (*Site, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var s Site
	if err := toml.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &s, nil
}

// service returns the first service whose endpoints are engines.
func (s *Site) service() (*Service, error) {
	for i := range s.Services {
		if s.Services[i].Engine != nil {
			return &s.Services[i], nil
		}
	}
	return nil, fmt.Errorf("%s: no service has engines", s.Name)
}

// Excluded returns the classes that Play leaves out: those of other services than the first that has engines.
func (s *Site) Excluded() []*Class {
	service, err := s.service()
	if err != nil {
		return nil
	}
	_, excluded := s.classesOf(service)
	return excluded
}

// classesOf returns the classes of a service, and the others.
func (s *Site) classesOf(service *Service) (classes, others []*Class) {
	for _, c := range s.Classes {
		if c.Service == service.Name {
			classes = append(classes, c)
		} else {
			others = append(others, c)
		}
	}
	return classes, others
}

// traffic returns the traffic of a day: the site's if the day has none of its own.
func (s *Site) traffic(day string) ([]Traffic, error) {
	for _, d := range s.Days {
		if d.Name == day {
			if len(d.Traffic) > 0 {
				return d.Traffic, nil
			}
			return s.Traffic, nil
		}
	}
	return nil, fmt.Errorf("%s: no day %q", s.Name, day)
}

// routers returns the number of routers.
func (s *Site) routers() int {
	sum := 0
	for _, m := range s.Machines {
		sum += m.Count
	}
	return sum
}
