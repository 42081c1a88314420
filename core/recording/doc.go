// Package recording counts the outcomes of online requests and batch items in this instance's burn ledger.
package recording
