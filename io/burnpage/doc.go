// Package burnpage writes a burn report as one HTML file that needs no network and no scripts.
package burnpage
