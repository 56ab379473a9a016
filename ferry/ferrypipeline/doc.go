// Package ferrypipeline chooses the engines that run a stream and fails over between them without losing or
// repeating a token. It also checks that each layer ran once and in order.
package ferrypipeline
