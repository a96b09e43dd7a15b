package decision

import (
	"math"
	"math/rand/v2"
)

// part is a part of a prompt. Parts with the same id have the same tokens.
type part struct {
	id     uint64
	tokens float64
}

// call is one request.
type call struct {
	class  *Class
	sentAt float64 // by its client
	router int
	parts  []part
	prompt float64 // tokens
	output int

	firstAt, endAt, maxStall float64
	missedTokens             float64 // of shared parts that were not cached
	engine                   int
	onFirstToken, onEnd      func()
}

// sharedPrefixes are the shared parts of the prompts of a class: a prompt begins with an outer part and one of its inner parts.
type sharedPrefixes struct {
	class   *Class
	outer   []part
	inner   []part
	outerOf []int     // index of the outer part, for each inner one
	weights []float64 // cumulative, of the inner parts (Zipf with exponent Class.Skew)
}

// newSharedPrefixes draws the shared parts of a class; a class without a chain of two levels has none.
func newSharedPrefixes(random *rand.Rand, c *Class) *sharedPrefixes {
	t := &sharedPrefixes{class: c}
	chain := c.Stream.Chain
	if len(chain) < 2 {
		return t
	}
	for range chain[0].Count {
		t.outer = append(t.outer, part{random.Uint64(), chain[0].Tokens.draw(random)})
	}
	sum := 0.0
	for i := range chain[1].Count {
		t.inner = append(t.inner, part{random.Uint64(), chain[1].Tokens.draw(random)})
		t.outerOf = append(t.outerOf, random.IntN(len(t.outer)))
		sum += math.Pow(float64(i+1), -c.Skew)
		t.weights = append(t.weights, sum)
	}
	return t
}

// draw returns a call of the class.
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

// calls returns the calls of a day to a service, by time: a compound Poisson process.
func (s *Site) calls(random *rand.Rand, day string, service *Service) ([]*call, error) {
	traffic, err := s.traffic(day)
	if err != nil {
		return nil, err
	}
	rates, total, clump := sumTraffic(traffic)
	classes, others := s.classesOf(service)
	for _, c := range others {
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
					c := sources[class.Name].draw(random, service.Engine.Stride)
					c.sentAt, c.router = at, random.IntN(s.routers())
					calls = append(calls, c)
					break
				}
			}
		}
	}
}

// sumTraffic returns the rate of each class and of all, in calls a second, and the largest mean number of calls that come together.
func sumTraffic(traffic []Traffic) (rates map[string]float64, total, clump float64) {
	rates, clump = map[string]float64{}, 1
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
	return rates, total, clump
}
