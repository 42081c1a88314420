// Package preset holds the fleets and loads of the experiments, embedded from JSON files.
package preset
