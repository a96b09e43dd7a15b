package decision

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Site is what a site file of the bench states of load and engines; the rest of it is not read.
type Site struct {
	Name     string    `toml:"name"`
	LengthS  float64   `toml:"length_s"`
	Machines []Machine `toml:"machines"`
	Services []Service `toml:"services"`
	Classes  []*Class  `toml:"classes"`
	Traffic  []Traffic `toml:"traffic"`
	Days     []Day     `toml:"day"`
}

// Machine is a row of equal machines.
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

// Class is a kind of requests.
type Class struct {
	Name     string  `toml:"name"`
	TargetMs    float64 `toml:"aim_ms"`
	Priority int     `toml:"priority"`
	Service  string  `toml:"service"`
	Prefixes   int     `toml:"things"`
	Skew     float64 `toml:"skew"`
	Stream   struct {
		Pieces       sizes  `toml:"pieces"`
		GapAimMs     float64 `toml:"gap_aim_ms"`
		PromptTokens sizes  `toml:"prompt_tokens"`
		Chain        []struct {
			Tokens sizes `toml:"tokens"`
			Things int    `toml:"things"`
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

// spread is a distribution of sizes: log-normal with a mean and a standard deviation of the logarithm, cut off.
type sizes struct {
	Mean   float64 `toml:"mean"`
	Sigma float64 `toml:"spread"`
	Max    float64 `toml:"max"`
}

func (s sizes) draw(random *rand.Rand) float64 {
	value := s.Mean * math.Exp(s.Sigma*random.NormFloat64()-s.Sigma*s.Sigma/2)
	if s.Max > 0 {
		value = min(value, s.Max)
	}
	return max(1, math.Round(value))
}

// ReadSite reads a site file.
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

// service is the one whose endpoints are engines.
func (s *Site) service() (*Service, error) {
	for i := range s.Services {
		if s.Services[i].Engine != nil {
			return &s.Services[i], nil
		}
	}
	return nil, fmt.Errorf("%s: no service has engines", s.Name)
}

// played returns the classes of the service whose endpoints are engines; there is an error if there is none.
func (s *Site) played(service *Service) ([]*Class, error) {
	var classes []*Class
	for _, c := range s.Classes {
		if c.Service == service.Name {
			classes = append(classes, c)
		}
	}
	if len(classes) == 0 {
		return nil, fmt.Errorf("%s: no class is of %s, the service that has engines", s.Name, service.Name)
	}
	return classes, nil
}

// Excluded returns the classes that Play leaves out: those of other services than the first that has engines.
func (s *Site) Excluded() []*Class {
	service, err := s.service()
	if err != nil {
		return nil
	}
	var classes []*Class
	for _, c := range s.Classes {
		if c.Service != service.Name {
			classes = append(classes, c)
		}
	}
	return classes
}

// traffic is that of a day, or the site's where the day has none of its own.
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

func (s *Site) routers() int {
	sum := 0
	for _, m := range s.Machines {
		sum += m.Count
	}
	return sum
}

// part is a part of a prompt.
type part struct {
	id     uint64
	tokens float64
}

// call is one request.
type call struct {
	class  *Class
	sentAt     float64 // when its client sends it
	router int
	parts  []part
	prompt float64 // tokens
	output int

	firstAt, endAt, maxStall float64
	missedTokens                float64 // tokens of shared parts that had to be read
	engine                int
	onFirstToken, onEnd        func()
}

// things are the shared parts of a class, with their sizes.
type sharedPrefixes struct {
	class   *Class
	outer   []part    // the outer level
	inner  []part    // the inner one, a part of which belongs to one outer one
	outerOf   []int     // of each inner part
	weights []float64 // cumulative
}

func newSharedPrefixes(random *rand.Rand, c *Class) *sharedPrefixes {
	t := &sharedPrefixes{class: c}
	chain := c.Stream.Chain
	if len(chain) < 2 {
		return t
	}
	for range chain[0].Things {
		t.outer = append(t.outer, part{random.Uint64(), chain[0].Tokens.draw(random)})
	}
	sum := 0.0
	for i := range chain[1].Things {
		t.inner = append(t.inner, part{random.Uint64(), chain[1].Tokens.draw(random)})
		t.outerOf = append(t.outerOf, random.IntN(len(t.outer)))
		sum += math.Pow(float64(i+1), -c.Skew)
		t.weights = append(t.weights, sum)
	}
	return t
}

// draw makes a call of the class.
func (t *sharedPrefixes) draw(random *rand.Rand, stride int) *call {
	c := &call{class: t.class}
	if len(t.inner) > 0 {
		u := random.Float64() * t.weights[len(t.weights)-1]
		i := 0
		for t.weights[i] < u {
			i++
		}
		c.parts = append(c.parts, t.outer[t.outerOf[i]], t.inner[i])
	}
	c.parts = append(c.parts, part{random.Uint64(), t.class.Stream.PromptTokens.draw(random)})
	for _, p := range c.parts {
		c.prompt += p.tokens
	}
	c.output = stride * int(t.class.Stream.Pieces.draw(random))
	return c
}

// calls are a day's of the classes that are played, by time.
func (s *Site) calls(random *rand.Rand, day string, classes []*Class, stride int) ([]*call, error) {
	traffic, err := s.traffic(day)
	if err != nil {
		return nil, err
	}
	rates := map[string]float64{}
	total, clump := 0.0, 1.0
	for _, t := range traffic {
		sum := 0.0
		for _, share := range t.Mix {
			sum += share
		}
		for name, share := range t.Mix {
			rates[name] += t.PerS * share / sum
		}
		total += t.PerS
		clump = max(clump, t.Shape.Clump)
	}
	for _, c := range s.Excluded() {
		total -= rates[c.Name]
	}
	sources := map[string]*sharedPrefixes{}
	for _, c := range classes {
		sources[c.Name] = newSharedPrefixes(random, c)
	}
	var calls []*call
	for at := 0.0; ; {
		at += random.ExpFloat64() * clump / total
		if at > s.LengthS {
			return calls, nil
		}
		for range 1 + random.IntN(int(2*clump-1)) {
			u := random.Float64() * total
			for _, class := range classes {
				if u -= rates[class.Name]; u < 0 {
					c := sources[class.Name].draw(random, stride)
					c.sentAt, c.router = at, random.IntN(s.routers())
					calls = append(calls, c)
					break
				}
			}
		}
	}
}
