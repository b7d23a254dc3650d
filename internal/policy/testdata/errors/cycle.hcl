locals {
  a = local.b * 2
  b = local.c + 1
  c = local.a
}
fleet {
  requests { rate = local.a }
}
