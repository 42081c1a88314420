// Package highmark remembers how far the results of jobs were returned to callers, so that no later read returns fewer.
package highmark
