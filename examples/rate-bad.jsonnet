// The same minute with ten kinds of trouble, up to five at once.
(import 'rate.jsonnet')(troubles=true)
