// Package capacity measures how the parts of landingmast grow: bundles,
// dissemination, claims and records at three sizes or more, with the real core
// and the real codec. docs/CAPACITY.md is worked out from what it prints.
package capacity

import (
	"crypto/ed25519"
	"fmt"
	"runtime"
	"time"

	"github.com/landingmast/landingmast/internal/core/bundle"
	"github.com/landingmast/landingmast/internal/platform"
	"github.com/landingmast/landingmast/internal/wire"
)

// Point is one measurement at one size.
type Point struct {
	Size  float64
	Value float64
}

// Fit is the straight line through points, by least squares.
type Fit struct {
	Base  float64
	Slope float64
}

// FitOf fits a line.
func FitOf(points []Point) Fit {
	var sumX, sumY, sumXX, sumXY float64
	count := float64(len(points))
	for _, point := range points {
		sumX += point.Size
		sumY += point.Value
		sumXX += point.Size * point.Size
		sumXY += point.Size * point.Value
	}
	slope := (count*sumXY - sumX*sumY) / (count*sumXX - sumX*sumX)
	return Fit{Base: (sumY - slope*sumX) / count, Slope: slope}
}

// At gives the value of the line at a size.
func (f Fit) At(size float64) float64 { return f.Base + f.Slope*size }

// Series is one quantity over sizes.
type Series struct {
	Name   string
	Unit   string
	Per    string // what the size counts
	Points []Point
}

// Fit fits the series.
func (s *Series) Fit() Fit { return FitOf(s.Points) }

func (s *Series) add(size int, value float64) {
	s.Points = append(s.Points, Point{float64(size), value})
}

// targetsPerService is that of the size to design for: 4,000 in 410 services.
const targetsPerService = 10

// Mesh makes a bundle with so many targets in services of ten, three classes for
// each service and an entry for each hundred targets.
func Mesh(targets int, version int64) *bundle.Bundle {
	made := &bundle.Bundle{Mesh: "large", Version: version, Levels: []string{"critical", "high", "normal", "bulk"}, MaxDepth: 8, UserHeader: "X-User"}
	number := 0
	node := func(name string) bundle.Node {
		number++
		return bundle.Node{
			Name: name, Address: fmt.Sprintf("10.%d.%d.%d:7000", number>>16, number>>8&255, number&255), Zone: fmt.Sprintf("zone-%d", number%29),
			Region: fmt.Sprintf("region-%d", number%8), State: bundle.Active,
		}
	}
	for index := range max(targets/100, 2) {
		made.Entries = append(made.Entries, node(fmt.Sprintf("entry-%d", index)))
	}
	for index := range targets / targetsPerService {
		service := bundle.Service{Name: fmt.Sprintf("service-%d", index), Shed: &bundle.ShedSignal{Status: 503, Header: "X-Load-Shed"}}
		for target := range targetsPerService {
			service.Targets = append(service.Targets, node(fmt.Sprintf("%s-%d", service.Name, target)))
		}
		made.Services = append(made.Services, service)
		for class, path := range []string{"/pay", "/read/", "/"} {
			made.Classes = append(made.Classes, bundle.Class{
				Name: fmt.Sprintf("%s-class-%d", service.Name, class), Service: service.Name, Path: path, Importance: made.Levels[class],
				Execution: bundle.Repeatable, Retries: 2, Deadline: bundle.Duration(time.Second),
			})
		}
	}
	return made
}

// signer gives the key that all measurements sign with.
func signer() (ed25519.PrivateKey, bundle.Keyring) {
	private := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	return private, bundle.Keyring{"op": private.Public().(ed25519.PublicKey)}
}

// Bundles measures what a bundle and a change to it cost a node.
func Bundles(sizes []int) ([]*Series, error) {
	whole := &Series{Name: "whole release on the wire", Unit: "bytes", Per: "target"}
	stored := &Series{Name: "release in the platform's key", Unit: "bytes", Per: "target"}
	delta := &Series{Name: "delta of one changed service on the wire", Unit: "bytes", Per: "target"}
	open := &Series{Name: "processor time to check and install a whole release", Unit: "ms", Per: "target"}
	apply := &Series{Name: "processor time to check and install a delta", Unit: "ms", Per: "target"}
	memory := &Series{Name: "memory of an installed release and the one before", Unit: "bytes", Per: "target"}
	private, ring := signer()
	for _, size := range sizes {
		first, err := bundle.Sign(Mesh(size, 1), "op", private)
		if err != nil {
			return nil, err
		}
		next := Mesh(size, 2)
		next.Services[0].Targets[0].State = bundle.Leaving
		second, err := bundle.Sign(next, "op", private)
		if err != nil {
			return nil, err
		}
		encoded, err := wire.ReleaseCodec.Encode(second)
		if err != nil {
			return nil, err
		}
		whole.add(size, float64(len(encoded)))
		record := &platform.ReleaseRecord{Release: second}
		document, err := record.Encode()
		if err != nil {
			return nil, err
		}
		stored.add(size, float64(len(document)))
		change := second.Delta(first)
		encodedDelta, err := wire.ReleaseCodec.Encode(change)
		if err != nil {
			return nil, err
		}
		delta.add(size, float64(len(encodedDelta)))
		var base *bundle.Installed
		open.add(size, repeat(func() { base, err = bundle.Open(first, ring, nil) }))
		if err != nil {
			return nil, err
		}
		apply.add(size, repeat(func() { _, err = bundle.Open(change, ring, base) }))
		if err != nil {
			return nil, err
		}
		memory.add(size, held(func() any {
			received, _ := wire.ReleaseCodec.Decode(encoded)
			installed, _ := bundle.Open(received, ring, nil)
			changed, _ := wire.ReleaseCodec.Decode(encodedDelta)
			after, _ := bundle.Open(changed, ring, installed)
			return []any{installed, after}
		}))
	}
	return []*Series{whole, stored, delta, open, apply, memory}, nil
}

const repetitions = 9

// repeat gives the median time of a function, in milliseconds.
func repeat(run func()) float64 {
	times := make([]float64, 0, repetitions)
	for range repetitions {
		began := time.Now()
		run()
		times = append(times, float64(time.Since(began))/float64(time.Millisecond))
	}
	return median(times)
}

// held gives the heap that stays in use for what a function makes.
func held(make func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	made := make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(made)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
