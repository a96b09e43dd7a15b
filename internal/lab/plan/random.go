package plan

import (
	"math"
	"math/rand/v2"
)

// The purposes of random numbers, each with a stream of its own. Their values are part of a seed's meaning.
const (
	arrivalStream = iota + 1
	requestStream
	endpointStream
	faultStream
	notificationStream
	transactionStream
	noiseStream
	callStream
	routingStream
	endpointSeedStream
	sidecarSeedStream
	hurryStream
	budgetStream

	lateStream = notificationStream + 100 // which sidecars a discovery_late affects
)

// randomStream returns a new generator for a purpose.
func (p *Plan) randomStream(purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(p.Seed, purpose))
}

// hashOf mixes the seed with a purpose and the numbers of what is drawn for: the draw depends on nothing else.
func (p *Plan) hashOf(purpose uint64, parts ...uint64) uint64 {
	h := mix(p.Seed ^ purpose<<56)
	for _, part := range parts {
		h = mix(h ^ part)
	}
	return h
}

// uniform is hashOf as a number from 0 up to 1.
func (p *Plan) uniform(purpose uint64, parts ...uint64) float64 {
	return float64(p.hashOf(purpose, parts...)>>11) / (1 << 53)
}

// mix is the finaliser of SplitMix64 (Steele, Lea and Flood, "Fast splittable pseudorandom number generators", 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// lognormal draws a number of a mean and a coefficient of variation.
func lognormal(random *rand.Rand, mean, cv float64) float64 {
	return lognormalOf(random.NormFloat64(), mean, cv)
}

// lognormalOf makes a lognormal number of a standard normal one.
func lognormalOf(normal, mean, cv float64) float64 {
	variance := math.Log1p(cv * cv) // of the logarithm
	return mean * math.Exp(math.Sqrt(variance)*normal-variance/2)
}
