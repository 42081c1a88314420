// Package throughput counts what batch routes got done in the last seconds.
package throughput
